//! Routes and handlers of the administration API.

use std::sync::Arc;

use axum::{
    Json, Router,
    body::{Body, to_bytes},
    extract::{Path, Request, State},
    http::{HeaderMap, StatusCode},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use dragonflycart_core::{ErrorKind, OperatorName, ServiceError, ZoneName};
use dragonflycart_operator::api::{
    BURN_PATH, MOVES_PATH, PLAN_PATH, STATUS_PATH, SUBMISSIONS_PATH, SubmitId, SubmitResponse,
    ZONES_PATH,
};
use dragonflycart_settings::Config;
use log::info;
use serde::de::DeserializeOwned;

use crate::{
    admin::{AdminMessage, ZoneChange},
    control::{ControlHandle, ControlMessage},
    http::{ErrorResponse, bearer_token},
};

/// Largest request body, in bytes. A plan for 31 models in 7 availability zones has about 40 KB.
const BODY_LIMIT: usize = 1 << 20;

/// State shared by the handlers of the administration API.
#[derive(Clone)]
pub(crate) struct AdminApi {
    config: Arc<Config>,
    control: ControlHandle,
}

impl AdminApi {
    /// Builds the state.
    pub(crate) fn new(config: Arc<Config>, control: ControlHandle) -> AdminApi {
        AdminApi { config, control }
    }

    /// Builds the routes. All of them require the credential of an operator.
    pub(crate) fn router(self) -> Router {
        let submissions = format!("{SUBMISSIONS_PATH}/{{id}}");
        let zones = format!("{ZONES_PATH}/{{zone}}");
        Router::new()
            .route(PLAN_PATH, get(get_plan).post(post_plan))
            .route(&submissions, get(get_submission))
            .route(&zones, post(post_zone))
            .route(STATUS_PATH, get(get_status))
            .route(MOVES_PATH, get(get_moves))
            .route(BURN_PATH, get(get_burn))
            .layer(middleware::from_fn_with_state(self.clone(), authenticate))
            .with_state(self)
    }

    fn operator(&self, headers: &HeaderMap) -> Option<OperatorName> {
        let credential = bearer_token(headers)?;
        for (name, settings) in &self.config.operators {
            if settings.credential.matches(credential) {
                return Some(name.clone());
            }
        }
        None
    }
}

/// Adds the operator's name to the request, or rejects a request without a valid credential.
async fn authenticate(State(api): State<AdminApi>, mut request: Request, next: Next) -> Response {
    let Some(operator) = api.operator(request.headers()) else {
        let message = "the credential of an operator is missing or unknown";
        let error = ServiceError::new(ErrorKind::Unauthorized, message);
        return ErrorResponse(error).into_response();
    };
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    if method != hyper::Method::GET {
        info!("admin: change requested; operator={operator} method={method} path={path}");
    }
    request.extensions_mut().insert(operator);
    next.run(request).await
}

async fn read_json<T: DeserializeOwned>(body: Body) -> Result<T, ServiceError> {
    let bad = |message: String| ServiceError::new(ErrorKind::BadRequest, message);
    let body = to_bytes(body, BODY_LIMIT).await.map_err(|error| bad(format!("body: {error}")))?;
    serde_json::from_slice(&body).map_err(|error| bad(format!("body: {error}")))
}

fn submit_response(response: SubmitResponse) -> Response {
    let status = match response {
        SubmitResponse::Accepted { .. } | SubmitResponse::Overridden => StatusCode::OK,
        SubmitResponse::Conflict { .. } => StatusCode::CONFLICT,
        SubmitResponse::Unknown => StatusCode::ACCEPTED,
        SubmitResponse::NotSeen => StatusCode::NOT_FOUND,
    };
    (status, Json(response)).into_response()
}

async fn get_plan(State(api): State<AdminApi>) -> Result<Response, ErrorResponse> {
    let ask = api.control.ask(|reply| ControlMessage::Admin(AdminMessage::Plan(reply)));
    Ok(Json(ask.await?).into_response())
}

async fn post_plan(
    State(api): State<AdminApi>,
    axum::Extension(operator): axum::Extension<OperatorName>,
    body: Body,
) -> Result<Response, ErrorResponse> {
    let request = read_json(body).await?;
    let ask = api
        .control
        .ask(|reply| ControlMessage::Admin(AdminMessage::Submit(operator, request, reply)));
    Ok(submit_response(ask.await??))
}

async fn get_submission(
    State(api): State<AdminApi>,
    Path(id): Path<String>,
) -> Result<Response, ErrorResponse> {
    let ask = api
        .control
        .ask(|reply| ControlMessage::Admin(AdminMessage::Submission(SubmitId(id), reply)));
    Ok(submit_response(ask.await?))
}

async fn post_zone(
    State(api): State<AdminApi>,
    axum::Extension(author): axum::Extension<OperatorName>,
    Path(zone): Path<String>,
    body: Body,
) -> Result<Response, ErrorResponse> {
    let request = read_json(body).await?;
    let zone = ZoneName::new(&zone)
        .map_err(|error| ServiceError::new(ErrorKind::NotFound, format!("zone: {error}")))?;
    let change = ZoneChange { author, zone, request };
    let ask = api.control.ask(|reply| ControlMessage::Admin(AdminMessage::Zone(change, reply)));
    Ok(submit_response(ask.await??))
}

async fn get_status(State(api): State<AdminApi>) -> Result<Response, ErrorResponse> {
    let ask = api.control.ask(|reply| ControlMessage::Admin(AdminMessage::Status(reply)));
    Ok(Json(ask.await?).into_response())
}

async fn get_moves(State(api): State<AdminApi>) -> Result<Response, ErrorResponse> {
    let ask = api.control.ask(|reply| ControlMessage::Admin(AdminMessage::Moves(reply)));
    Ok(Json(ask.await?).into_response())
}

async fn get_burn(State(api): State<AdminApi>) -> Result<Response, ErrorResponse> {
    let ask = api.control.ask(|reply| ControlMessage::Admin(AdminMessage::Burn(reply)));
    Ok(Json(ask.await?).into_response())
}
