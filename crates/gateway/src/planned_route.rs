//! One route of the route plan.

use std::time::Duration;

use crate::RouteKind;

/// Route from a host and path prefix to the services that serve it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRoute {
    /// Name in logs and metrics.
    pub name: String,
    /// `Host` header value, in lower case and without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting for the end of the response.
    pub time_limit: Duration,
    /// Time to the response, or to the first event of a stream, that the operators aim at.
    pub latency_target: Duration,
    /// Longest pause between events of a stream that the operators aim at.
    pub pause_target: Option<Duration>,
    /// Rank; 0 is the most important.
    pub priority: u8,
    /// Services with their weights; never empty.
    pub services: Vec<(String, u32)>,
    /// Largest number of servers on which one attempt of a caller may run.
    pub max_attempts: u32,
    /// Whether requests need no credential.
    pub is_public: bool,
}
