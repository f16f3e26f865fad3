//! Limits and error bounds of version moves.

use std::time::Duration;

/// Limits and error bounds of version moves, the same on every VM of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveSettings {
    /// Highest probability that a version that is not worse than the old one is rolled back by
    /// the comparison, over the whole move and watch.
    pub rollback_error: f64,
    /// Highest probability that a bad version passes the proof for one measure, over all attempts.
    /// The sum over attempts `k` of `2 / (k (k + 1))` is twice the bound of the first attempt.
    pub proof_error: f64,
    /// Odds ratio up to which the new version does not count as worse. It absorbs small
    /// differences between VMs in their shares and clocks.
    pub margin: f64,
    /// Tolerated rate of failed requests of a good version.
    pub failed_tolerance: f64,
    /// Tolerated rate of slow requests of a good version.
    pub slow_tolerance: f64,
    /// Requests of all routes together that may go to an unproven version in one step, whatever
    /// the traffic volume is.
    pub risk_cap: f64,
    /// Requests below which a route of the new version can't be judged. A route that had no more
    /// than this over the whole move does not block it.
    pub route_floor: u64,
    /// Latency objective: time after its start at which a request is counted at the latest.
    pub objective: Duration,
    /// Time after the end of a bucket until its counters from other VMs have normally arrived.
    pub settle: Duration,
    /// Time for which the new version is watched after the deadline, with the old one loaded.
    pub watch: Duration,
    /// Age at which evidence is dropped to bound its memory.
    pub retention: Duration,
}

impl Default for MoveSettings {
    fn default() -> MoveSettings {
        MoveSettings {
            rollback_error: 0.004,
            proof_error: 0.01,
            margin: 1.25,
            failed_tolerance: 0.02,
            slow_tolerance: 0.15,
            risk_cap: 12.0,
            route_floor: 30,
            objective: Duration::from_secs(4),
            settle: Duration::from_secs(1),
            watch: Duration::from_secs(1_800),
            retention: Duration::from_secs(1_800),
        }
    }
}
