//! Error responses of the gateway itself.

use std::time::Duration;

use bytes::Bytes;
use dragonflycart_core::ErrorKind;
use hyper::{Response, StatusCode, header};

use crate::{ResponseBody, response_body};

/// Failure of a request: its kind and cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayFailure {
    /// Kind, which determines the status code.
    pub kind: ErrorKind,
    /// Cause for the log. It is also the value of a metric label, so the texts must be few and
    /// stable.
    pub cause: &'static str,
    /// Time after which a retry may succeed, for the `Retry-After` header.
    pub retry_after: Option<Duration>,
}

impl GatewayFailure {
    /// Builds a failure with the default retry time of its kind.
    pub fn new(kind: ErrorKind, cause: &'static str) -> GatewayFailure {
        GatewayFailure { kind, cause, retry_after: kind.retry_after() }
    }

    /// Sets the time after which a retry may succeed.
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
