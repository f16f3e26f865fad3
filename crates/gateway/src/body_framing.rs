//! How the end of a body is determined.

use hyper::{HeaderMap, StatusCode};

use crate::{ConnectionError, response_head::has_token};

/// Framing of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(u64),
    /// The body uses chunked transfer encoding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

impl BodyFraming {
    /// Returns the framing given by a response's status and headers.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::Malformed`] for invalid or contradictory headers.
    pub fn of_response(
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<BodyFraming, ConnectionError> {
        if status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED
        {
            return Ok(BodyFraming::Length(0));
        }
        let lengths: Vec<_> = headers.get_all("content-length").iter().collect();
        if headers.contains_key("transfer-encoding") {
            if !lengths.is_empty() || !has_token(headers, "transfer-encoding", "chunked") {
                return Err(ConnectionError::Malformed);
            }
            return Ok(BodyFraming::Chunked);
        }
        let Some(first) = lengths.first() else { return Ok(BodyFraming::UntilClose) };
        if lengths.iter().any(|length| length != first) {
            return Err(ConnectionError::Malformed);
        }
        let text = first.to_str().map_err(|_| ConnectionError::Malformed)?;
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(ConnectionError::Malformed);
        }
        text.parse().map(BodyFraming::Length).map_err(|_| ConnectionError::Malformed)
    }
}
