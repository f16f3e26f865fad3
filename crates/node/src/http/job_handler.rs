//! Handlers of deferred generations.

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
    http::{CallerContext, CompletionRequest, ErrorResponse, HttpFront, generation_handler},
    job::{JobAnswer, JobMessage, JobRequest},
};

/// Accepts a deferred generation.
pub(crate) async fn post_job(
    State(front): State<HttpFront>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, ErrorResponse> {
    let result = accept_job(&front, &headers, body).await;
    result.map_err(|error| front.error(error))
}

async fn accept_job(
    front: &HttpFront,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &front.config)?;
    let Some(key) = caller.key.clone() else {
        let message = "idempotency-key: required for a job";
        return Err(ServiceError::new(ErrorKind::BadRequest, message));
    };
    let body = front.read_body(body).await?;
    let request = CompletionRequest::parse(&body, front.config.limits.prompt)?;
    generation_handler::check_model(front, &request.model, &caller)?;
    front.check_phase().map_err(|error| repeated_refusal(error, caller.attempt))?;
    let deadline = front.deadline(caller.deadline, front.config.timeouts.call_deadline);
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
    let answer = front.runner.control.ask(|reply| {
        let request = Bytes::from(request);
        ControlMessage::Job(JobMessage::Accept { key, request, deadline, reply })
    });
    job_response(answer.await?).map_err(|error| repeated_refusal(error, caller.attempt))
}

/// Returns the error of a job that is refused before the log was read for its key. An earlier
/// attempt may have been accepted, so "not run" is correct only for a first one.
fn repeated_refusal(error: ServiceError, attempt: u32) -> ServiceError {
    let blind = matches!(error.kind(), ErrorKind::Draining | ErrorKind::LogUnavailable);
    if attempt == 1 || !blind {
        return error;
    }
    let message = format!("{}; an earlier attempt may have been accepted", error.message());
    ServiceError::new(ErrorKind::OutcomeUnknown, message)
}

/// Returns the result of a deferred generation, or that it is not done.
pub(crate) async fn get_job(
    State(front): State<HttpFront>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let result = fetch_job(&front, &key, &headers).await;
    result.map_err(|error| front.error(error))
}

async fn fetch_job(
    front: &HttpFront,
    key: &str,
    headers: &HeaderMap,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &front.config)?;
    let key = RequestKey::new(key)
        .map_err(|error| ServiceError::new(ErrorKind::NotFound, format!("key: {error}")))?;
    let key = CallKey::new(caller.team.as_str(), key.as_str());
    let answer =
        front.runner.control.ask(|reply| ControlMessage::Job(JobMessage::Fetch(key, reply)));
    job_response(answer.await?)
}

fn job_response(answer: JobAnswer) -> Result<Response, ServiceError> {
    let json = HeaderValue::from_static("application/json");
    match answer {
        JobAnswer::Accepted => {
            let body = r#"{"state":"accepted"}"#;
            Ok((StatusCode::ACCEPTED, [(header::CONTENT_TYPE, json)], body).into_response())
        }
        JobAnswer::Done(body) => {
            Ok((StatusCode::OK, [(header::CONTENT_TYPE, json)], body).into_response())
        }
        JobAnswer::Refused(error) => Err(error),
    }
}
