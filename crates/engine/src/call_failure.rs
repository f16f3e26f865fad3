//! How far a failed exchange with a backend server got.

use displaydoc::Display;
use thiserror::Error;

/// Failed exchange with a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum CallFailure {
    /// no byte of the request was handed to a socket
    NotSent,
    /// the request was handed to a socket and no whole answer arrived
    MaybeSent,
    /// the answer carries another request's identity
    MismatchedResponse,
}
