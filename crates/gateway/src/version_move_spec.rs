//! Order to move a service to another version.

use std::time::Duration;

/// Parameters of a version move: all traffic of a service moves to the servers with the target
/// version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionMoveSpec {
    /// Name of the service.
    pub service: String,
    /// Target version.
    pub target: String,
    /// Time within which the version move must be completed or rolled back.
    pub time_limit: Duration,
}
