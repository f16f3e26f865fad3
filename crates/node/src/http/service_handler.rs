//! Handlers for calls to plain services.

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
    http::{CallerApi, CallerContext, ErrorResponse},
};

/// Sends a call to a plain service.
pub(crate) async fn post_call(
    State(api): State<CallerApi>,
    Path((service, operation)): Path<(String, String)>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, ErrorResponse> {
    let result = run_call(&api, &service, &operation, &headers, body).await;
    result.map_err(|error| api.error_response(error))
}

async fn run_call(
    api: &CallerApi,
    service: &str,
    operation: &str,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &api.config)?;
    let (body, refusal) = match api.read_body(body).await {
        Ok(body) => (body, None),
        Err(error) if error.kind() == ErrorKind::Draining => (Bytes::new(), Some(error)),
        Err(error) => return Err(error),
    };
    let spec = call_spec(api, service, operation, caller, body)?;
    if let Some(error) = refusal {
        return Err(spec.refusal(error));
    }
    api.check_phase().map_err(|error| spec.refusal(error))?;
    api.runner.metrics.calls.inc();
    let response = CallRunner::new(api.runner.clone(), api.clock).run(spec).await?;
    Ok(service_response(response))
}

fn call_spec(
    api: &CallerApi,
    service: &str,
    operation: &str,
    caller: CallerContext,
    body: Bytes,
) -> Result<CallSpec, ServiceError> {
    let unknown = |message: String| ServiceError::new(ErrorKind::NotFound, message);
    let service =
        ServiceName::new(service).map_err(|error| unknown(format!("service: {error}")))?;
    let Some(settings) = api.config.services.get(&service) else {
        return Err(unknown(format!("service: {service} is unknown")));
    };
    let operation =
        RouteName::new(operation).map_err(|error| unknown(format!("operation: {error}")))?;
    let idempotent = settings.idempotent.contains(&operation);
    if !idempotent && caller.key.is_none() {
        let message = "idempotency-key: required, because the operation is not idempotent";
        return Err(ServiceError::new(ErrorKind::BadRequest, message));
    }
    let deadline = api.deadline(caller.deadline, api.config.timeouts.call_deadline);
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

/// Returns the recorded response of a call that is not idempotent.
pub(crate) async fn get_call(
    State(api): State<CallerApi>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let result = fetch_call(&api, &key, &headers).await;
    result.map_err(|error| api.error_response(error))
}

async fn fetch_call(
    api: &CallerApi,
    key: &str,
    headers: &HeaderMap,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &api.config)?;
    let key = RequestKey::new(key)
        .map_err(|error| ServiceError::new(ErrorKind::BadRequest, format!("key: {error}")))?;
    let runner = CallRunner::new(api.runner.clone(), api.clock);
    Ok(service_response(runner.fetch(&caller.team, &key).await?))
}

/// Converts a service's response; status and body stay unchanged.
pub(crate) fn service_response(response: ServiceResponse) -> Response {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    (status, response.body).into_response()
}
