//! Settings of version moves: limits, tolerances and error bounds.

use std::time::Duration;

/// Settings of version moves. They must be the same on every VM of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveSettings {
    /// Bound on the probability that the rejection tests roll back a version that is not worse than
    /// the old one, over the whole move and the watch time after it.
    pub rollback_error: f64,
    /// Bound on the probability that a bad version passes the acceptance test of one metric in the
    /// first attempt. Attempt `k` has this bound times `2 / (k (k + 1))`, so over all attempts the
    /// bounds add up to twice this value.
    pub acceptance_error: f64,
    /// Odds ratio up to which the new version does not count as worse. It covers small differences
    /// between the shares and clocks of VMs.
    pub margin: f64,
    /// Highest rate of failed requests of a good version.
    pub failed_tolerance: f64,
    /// Highest rate of slow requests of a good version.
    pub slow_tolerance: f64,
    /// Requests, over all routes together, that may go to the new version in one step of the ramp
    /// while it has no credit (see [`RouteComparison::credit`](crate::RouteComparison::credit)). It
    /// does not depend on the traffic volume.
    pub max_requests_at_risk: f64,
    /// Requests that a route must exceed over the whole move to be tested; other routes do not
    /// block the move. Over all routes, the new version needs at least this many requests.
    pub min_route_requests: u64,
    /// Latency objective. A request that is still open this long after its start is counted as
    /// slow.
    pub objective: Duration,
    /// Time after the end of a bucket at which its counters count as settled, because those of
    /// other VMs have normally arrived.
    pub settle: Duration,
    /// Time after the deadline for which the new version is still evaluated and the old one stays
    /// loaded, so that the move can be rolled back.
    pub watch: Duration,
    /// Age at which counters are dropped to bound their memory.
    pub retention: Duration,
}

impl Default for MoveSettings {
    fn default() -> MoveSettings {
        MoveSettings {
            rollback_error: 0.004,
            acceptance_error: 0.01,
            margin: 1.25,
            failed_tolerance: 0.02,
            slow_tolerance: 0.15,
            max_requests_at_risk: 12.0,
            min_route_requests: 30,
            objective: Duration::from_secs(4),
            settle: Duration::from_secs(1),
            watch: Duration::from_secs(1_800),
            retention: Duration::from_secs(1_800),
        }
    }
}
