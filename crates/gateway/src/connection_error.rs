//! Failures of a connection to a server.

use displaydoc::Display;
use strum::IntoStaticStr;
use thiserror::Error;

/// Reason why an exchange with a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionError {
    /// the server can't be connected to
    Unreachable,
    /// the server closed or reset the connection
    Closed,
    /// the server's bytes are not an HTTP response
    Malformed,
    /// the response belongs to another request
    Mismatched,
    /// the server was silent for too long
    TimedOut,
}
