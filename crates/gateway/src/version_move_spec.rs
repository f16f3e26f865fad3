//! Order to move a service to another version.

use std::time::Duration;

/// What operators ask for: the traffic of a service goes to the servers of another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionMoveSpec {
    /// Name of the service.
    pub service: String,
    /// Version to move to.
    pub target: String,
    /// Time within which the move is to be completed or rolled back.
    pub time_limit: Duration,
}
