//! Converts a [`ServiceError`] to an HTTP response with a JSON body.

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

/// Renders the JSON of an error, as sent in the event stream of a generation.
pub(crate) fn error_json(error: &ServiceError) -> String {
    let kind = error.kind();
    let retry_after_ms = kind.retry_after().map(|span| span.as_millis() as u64);
    let fields =
        ErrorFields { kind, message: error.message(), run: error.run_state(), retry_after_ms };
    serde_json::to_string(&ErrorBody { error: fields }).unwrap_or_default()
}

/// Error response of an HTTP handler.
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
            // The header is in whole seconds. Round up so that callers never retry too early.
            let seconds = HeaderValue::from(millis.div_ceil(1_000));
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}
