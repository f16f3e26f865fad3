//! Renders a [`ServiceError`] as the JSON answer that callers get.

use axum::{
    Json,
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use dragonflycart_core::{ErrorKind, RunState, ServiceError};
use serde::Serialize;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    kind: ErrorKind,
    message: &'a str,
    run: RunState,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Renders the body of an error, as used in answers and in event streams.
pub(crate) fn error_json(error: &ServiceError) -> String {
    let kind = error.kind();
    let retry_after_ms = kind.retry_after().map(|span| span.as_millis() as u64);
    let fields =
        ErrorFields { kind, message: error.message(), run: error.run_state(), retry_after_ms };
    serde_json::to_string(&ErrorBody { error: fields }).unwrap_or_default()
}

/// Error answer of an HTTP handler.
pub(crate) struct ErrorResponse(pub(crate) ServiceError);

impl From<ServiceError> for ErrorResponse {
    fn from(error: ServiceError) -> ErrorResponse {
        ErrorResponse(error)
    }
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        let kind = self.0.kind();
        let status =
            StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let retry_after_ms = kind.retry_after().map(|span| span.as_millis() as u64);
        let fields = ErrorFields {
            kind,
            message: self.0.message(),
            run: self.0.run_state(),
            retry_after_ms,
        };
        let mut response = (status, Json(ErrorBody { error: fields })).into_response();
        if let Some(millis) = retry_after_ms {
            // The header has a resolution of seconds; round up so that it never asks too early.
            let seconds = HeaderValue::from(millis.div_ceil(1_000));
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}
