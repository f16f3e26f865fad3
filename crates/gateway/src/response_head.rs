//! Status line and headers of a server's response.

use std::time::Duration;

use hyper::{HeaderMap, StatusCode, header::HeaderName, header::HeaderValue};

use crate::{BodyFraming, ConnectionError};

/// Maximum size of a response's header section, in bytes.
pub const HEAD_LIMIT_BYTES: usize = 32 * 1024;
/// Longest time without requests that a server may ask for.
const LONGEST_PAUSE: Duration = Duration::from_secs(600);
/// Status codes of the protocol.
const STATUS_CODES: std::ops::Range<u16> = 100..600;
/// Maximum number of headers in a response.
const HEADER_LIMIT: usize = 100;

/// Head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// Headers in the order of arrival.
    pub headers: HeaderMap,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// Whether the connection can be reused after the body.
    pub keeps_alive: bool,
}

impl ResponseHead {
    /// Parses a head. Returns it with its length in bytes, or `None` if `bytes` is incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::Malformed`] if the bytes are not an HTTP/1 response.
    pub fn parse(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, ConnectionError> {
        let mut slots = [httparse::EMPTY_HEADER; HEADER_LIMIT];
        let mut parsed = httparse::Response::new(&mut slots);
        let length = match parsed.parse(bytes).map_err(|_| ConnectionError::Malformed)? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if bytes.len() > HEAD_LIMIT_BYTES => {
                return Err(ConnectionError::Malformed);
            }
            httparse::Status::Partial => return Ok(None),
        };
        // The library takes codes up to 999, but the protocol has five classes only.
        let status = parsed
            .code
            .filter(|code| STATUS_CODES.contains(code))
            .and_then(|code| StatusCode::from_u16(code).ok())
            .ok_or(ConnectionError::Malformed)?;
        let mut headers = HeaderMap::with_capacity(parsed.headers.len());
        for header in parsed.headers.iter() {
            let name = HeaderName::from_bytes(header.name.as_bytes())
                .map_err(|_| ConnectionError::Malformed)?;
            let value =
                HeaderValue::from_bytes(header.value).map_err(|_| ConnectionError::Malformed)?;
            headers.append(name, value);
        }
        let framing = BodyFraming::of_response(status, &headers)?;
        let is_last = parsed.version != Some(1) || has_token(&headers, "connection", "close");
        let keeps_alive = !is_last && framing != BodyFraming::UntilClose;
        Ok(Some((ResponseHead { status, headers, framing, keeps_alive }, length)))
    }

    /// Returns the value of a header as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns for how long the server wants no more requests, if its `Retry-After` header states it
    /// in seconds.
    pub fn retry_after(&self) -> Option<Duration> {
        let seconds: f64 = self.text("retry-after")?.trim().parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok().map(|time| time.min(LONGEST_PAUSE))
    }

    /// Returns how long the server keeps an idle connection open, if its `Keep-Alive` header states
    /// it.
    pub fn idle_limit(&self) -> Option<Duration> {
        let text = self.text("keep-alive")?;
        for part in text.split(',') {
            let Some(seconds) = part.trim().strip_prefix("timeout=") else { continue };
            return seconds.trim().parse().ok().map(Duration::from_secs);
        }
        None
    }
}

/// Returns whether a comma-separated header contains `token`.
pub fn has_token(headers: &HeaderMap, name: &str, token: &str) -> bool {
    for value in headers.get_all(name) {
        let Ok(text) = value.to_str() else { continue };
        if text.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)) {
            return true;
        }
    }
    false
}
