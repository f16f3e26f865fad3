//! Handlers of calls to plain services.

use axum::{
    body::Body,
    extract::{Path, State},
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use dragonflycart_core::{ErrorKind, RequestKey, RouteName, ServiceError, ServiceName};
use dragonflycart_engine::ServiceResponse;

use crate::{
    call::{CallRunner, CallSpec},
    http::{CallerContext, ErrorResponse, HttpFront},
};

/// Sends a call to a plain service.
pub(crate) async fn post_call(
    State(front): State<HttpFront>,
    Path((service, operation)): Path<(String, String)>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, ErrorResponse> {
    let result = run_call(&front, &service, &operation, &headers, body).await;
    result.map_err(|error| front.error(error))
}

async fn run_call(
    front: &HttpFront,
    service: &str,
    operation: &str,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &front.config)?;
    let body = front.read_body(body).await?;
    let spec = call_spec(front, service, operation, caller, body)?;
    front.check_phase().map_err(|error| spec.refusal(error))?;
    front.runner.metrics.calls.inc();
    let answer = CallRunner::new(front.runner.clone(), front.clock).run(spec).await?;
    Ok(service_response(answer))
}

fn call_spec(
    front: &HttpFront,
    service: &str,
    operation: &str,
    caller: CallerContext,
    body: Bytes,
) -> Result<CallSpec, ServiceError> {
    let unknown = |message: String| ServiceError::new(ErrorKind::NotFound, message);
    let service =
        ServiceName::new(service).map_err(|error| unknown(format!("service: {error}")))?;
    let Some(settings) = front.config.services.get(&service) else {
        return Err(unknown(format!("service: {service} is unknown")));
    };
    let operation =
        RouteName::new(operation).map_err(|error| unknown(format!("operation: {error}")))?;
    let idempotent = settings.idempotent.contains(&operation);
    if !idempotent && caller.key.is_none() {
        let message = "idempotency-key: required, because the operation is not idempotent";
        return Err(ServiceError::new(ErrorKind::BadRequest, message));
    }
    let deadline = front.deadline(caller.deadline, front.config.timeouts.call_deadline);
    Ok(CallSpec {
        team: caller.team,
        service,
        operation,
        idempotent,
        key: caller.key,
        attempt: caller.attempt,
        deadline,
        body,
    })
}

/// Returns the recorded answer of a call that is not idempotent.
pub(crate) async fn get_call(
    State(front): State<HttpFront>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let result = fetch_call(&front, &key, &headers).await;
    result.map_err(|error| front.error(error))
}

async fn fetch_call(
    front: &HttpFront,
    key: &str,
    headers: &HeaderMap,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &front.config)?;
    let key = RequestKey::new(key)
        .map_err(|error| ServiceError::new(ErrorKind::BadRequest, format!("key: {error}")))?;
    let runner = CallRunner::new(front.runner.clone(), front.clock);
    Ok(service_response(runner.fetch(&caller.team, &key).await?))
}

/// Passes the answer of a service on unchanged.
pub(crate) fn service_response(answer: ServiceResponse) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    (status, answer.body).into_response()
}
