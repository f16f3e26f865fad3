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
    /// The connection broke after the request was sent.
    ServerLost,
    /// The server answered with a failure.
    Failed,
}

impl AttemptFailure {
    /// Returns whether the server may have run the request.
    pub const fn may_have_run(self) -> bool {
        matches!(self, AttemptFailure::ServerLost | AttemptFailure::Failed)
    }

    /// Returns whether the failure means that the server's process may have failed.
    pub const fn is_server_failure(self) -> bool {
        matches!(self, AttemptFailure::ServerLost)
    }
}
