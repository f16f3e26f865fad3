//! Errors of a connection to a server.

use displaydoc::Display;
use strum::IntoStaticStr;
use thiserror::Error;

/// Reason why a request to a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionError {
    /// can't connect to the server
    Unreachable,
    /// nothing listens at the server's address
    NotListening,
    /// the server closed or reset the connection
    Closed,
    /// the server's bytes are not an HTTP response
    Malformed,
    /// the response belongs to another request
    Mismatched,
    /// the server was silent for too long
    TimedOut,
    /// a planned stop of this VM can't wait longer
    Stopping,
    /// there is no memory for the response
    NoMemory,
}
