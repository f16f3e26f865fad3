//! Answers of the system's own to requests that it can't serve.

use std::time::Duration;

use bytes::Bytes;
use dragonflycart_core::ErrorKind;
use hyper::{Response, StatusCode, header};

use crate::{ResponseBody, response_body};

/// Failed request: the kind of the failure and its cause in words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayFailure {
    /// Kind, which determines the status code.
    pub kind: ErrorKind,
    /// Cause for the log.
    pub cause: &'static str,
    /// Time after which the request may succeed, where it differs from the kind's default.
    pub retry_after: Option<Duration>,
}

impl GatewayFailure {
    /// Builds a failure with the default time to come back of its kind.
    pub fn new(kind: ErrorKind, cause: &'static str) -> GatewayFailure {
        GatewayFailure { kind, cause, retry_after: kind.retry_after() }
    }

    /// Sets the time after which the request may succeed.
    pub fn with_retry_after(self, time: Duration) -> GatewayFailure {
        GatewayFailure { retry_after: Some(time), ..self }
    }

    /// Builds the response.
    pub fn response(&self) -> Response<ResponseBody> {
        let status =
            StatusCode::from_u16(self.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let text = format!("{}\n", self.kind);
        let mut response = Response::new(response_body::full(Bytes::from(text)));
        *response.status_mut() = status;
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/plain"));
        if let Some(time) = self.retry_after
            && let Ok(value) = header::HeaderValue::from_str(&format!("{:.3}", time.as_secs_f64()))
        {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}
