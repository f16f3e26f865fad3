//! Route of the route plan.

use std::time::Duration;

use crate::RouteKind;

/// Route from a host and path prefix to the services that serve it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRoute {
    /// Name in logs and metrics.
    pub name: String,
    /// `Host` header value, in lower case and without a port.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of requests, which determines whether they may be retried.
    pub kind: RouteKind,
    /// Maximum time to the end of the response.
    pub time_limit: Duration,
    /// Target for the time to the response, or to the first event of a stream.
    pub latency_target: Duration,
    /// Target for the longest pause between two events of a stream.
    pub pause_target: Option<Duration>,
    /// Priority; 0 is the most important.
    pub priority: u8,
    /// Services with their weights; never empty.
    pub services: Vec<(String, u32)>,
    /// Maximum number of servers on which one attempt of a caller may run.
    pub max_attempts: u32,
    /// Whether requests need no credential.
    pub is_public: bool,
    /// Whether a stream may run again at another server after its server's response was lost.
    pub is_resumable: bool,
}

impl PlannedRoute {
    /// Returns whether a request that may have run can be sent to another server.
    pub fn may_repeat(&self) -> bool {
        self.kind.is_retryable() || (self.kind == RouteKind::Stream && self.is_resumable)
    }
}
