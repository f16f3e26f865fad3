//! Handlers for deferred generations.

use axum::{
    body::Body,
    extract::{Path, State},
    http::{HeaderMap, HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use dragonflycart_core::{ErrorKind, RequestKey, ServiceError};
use dragonflycart_state::CallKey;

use crate::{
    control::ControlMessage,
    http::{CallerApi, CallerContext, CompletionRequest, ErrorResponse, generation_handler},
    job::{JobMessage, JobRequest, JobResponse},
};

/// Accepts a deferred generation.
pub(crate) async fn post_job(
    State(api): State<CallerApi>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, ErrorResponse> {
    let result = accept_job(&api, &headers, body).await;
    result.map_err(|error| api.error_response(error))
}

async fn accept_job(
    api: &CallerApi,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &api.config)?;
    let Some(key) = caller.key.clone() else {
        let message = "idempotency-key: required for a job";
        return Err(ServiceError::new(ErrorKind::BadRequest, message));
    };
    let body = api.read_body(body).await;
    let body = body.map_err(|error| refusal_of_attempt(error, caller.attempt))?;
    let request = CompletionRequest::parse(&body, api.config.limits.prompt)?;
    generation_handler::check_model(api, &request.model, &caller)?;
    api.check_phase().map_err(|error| refusal_of_attempt(error, caller.attempt))?;
    let deadline = api.deadline(caller.deadline, api.config.timeouts.call_deadline);
    let job = JobRequest {
        team: caller.team.clone(),
        route: caller.route,
        model: request.model,
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        seed: request.seed,
    };
    let request = serde_json::to_vec(&job)
        .map_err(|error| ServiceError::new(ErrorKind::Internal, error.to_string()))?;
    let key = CallKey::new(caller.team.as_str(), key.as_str());
    let response = api.runner.control.ask(|reply| {
        let request = Bytes::from(request);
        ControlMessage::Job(JobMessage::Accept { key, request, deadline, reply })
    });
    job_response(response.await?).map_err(|error| refusal_of_attempt(error, caller.attempt))
}

/// Returns the error for a job that is refused before its key was looked up in the log. An earlier
/// attempt may have been accepted, so "not run" is correct only for the first attempt.
fn refusal_of_attempt(error: ServiceError, attempt: u32) -> ServiceError {
    let log_not_read = matches!(error.kind(), ErrorKind::Draining | ErrorKind::LogUnavailable);
    if attempt == 1 || !log_not_read {
        return error;
    }
    let message = format!("{}; an earlier attempt may have been accepted", error.message());
    ServiceError::new(ErrorKind::OutcomeUnknown, message)
}

/// Returns the result of a deferred generation, or that it has not finished.
pub(crate) async fn get_job(
    State(api): State<CallerApi>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let result = fetch_job(&api, &key, &headers).await;
    result.map_err(|error| api.error_response(error))
}

async fn fetch_job(
    api: &CallerApi,
    key: &str,
    headers: &HeaderMap,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &api.config)?;
    let key = RequestKey::new(key)
        .map_err(|error| ServiceError::new(ErrorKind::NotFound, format!("key: {error}")))?;
    let key = CallKey::new(caller.team.as_str(), key.as_str());
    let response =
        api.runner.control.ask(|reply| ControlMessage::Job(JobMessage::Fetch(key, reply)));
    job_response(response.await?)
}

fn job_response(response: JobResponse) -> Result<Response, ServiceError> {
    let json = HeaderValue::from_static("application/json");
    match response {
        JobResponse::Accepted => {
            let body = r#"{"state":"accepted"}"#;
            Ok((StatusCode::ACCEPTED, [(header::CONTENT_TYPE, json)], body).into_response())
        }
        JobResponse::Done(body) => {
            Ok((StatusCode::OK, [(header::CONTENT_TYPE, json)], body).into_response())
        }
        JobResponse::Refused(error) => Err(error),
    }
}
