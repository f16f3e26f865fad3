//! How an attempt on a backend server failed.

use strum::{Display, IntoStaticStr};

/// How an attempt on a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptFailure {
    /// The server refused the request without running it, for example because it is leaving.
    Refused,
    /// No byte of the request was sent.
    NotSent,
    /// The connection was lost after the request was sent.
    ServerLost,
    /// The server responded with an error.
    Failed,
}

impl AttemptFailure {
    /// Returns whether the server may have run the request.
    pub const fn may_have_run(self) -> bool {
        matches!(self, AttemptFailure::ServerLost | AttemptFailure::Failed)
    }

    /// Returns whether the server process may have crashed.
    pub const fn is_server_failure(self) -> bool {
        matches!(self, AttemptFailure::ServerLost)
    }
}
