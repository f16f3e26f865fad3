//! Failures of requests to a backend server.

use displaydoc::Display;
use thiserror::Error;

/// Failure of a request to a backend server, by whether the server may have received it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CallFailure {
    /// no byte of the request was written to a socket
    NotSent,
    /// the request may have been sent, but no complete response arrived
    MaybeSent,
    /// the response carries the id of another request
    MismatchedResponse,
}
