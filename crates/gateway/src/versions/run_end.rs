//! How a request ended at a server.

use strum::IntoStaticStr;

/// How a request ended at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RunEnd {
    /// The server responded correctly and completely.
    Good,
    /// The server responded with an error or not correctly, or its response was lost.
    Failed,
    /// The server refused the request without running it. This counts against its version, but not
    /// against the server, which may only be full.
    Refused,
    /// Another server responded at the address.
    Replaced,
    /// The request was given up or moved before the server had responded completely. It counts
    /// against the server's version only if the response was overdue.
    Abandoned,
}
