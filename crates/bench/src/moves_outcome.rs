//! Outcome of one run of the version move experiment.

use serde::Serialize;

/// Outcome of one run; a row of the CSV file, with the fields as its columns.
#[derive(Debug, Clone, Serialize)]
pub struct MovesOutcome {
    /// Scenario.
    pub scenario: String,
    /// Policy: `sequential` or `fixed_steps`.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// State of the first VM at the end of the run, which is that of all VMs unless `split` is set.
    pub state: String,
    /// Whether the move was done on all VMs by the deadline.
    pub done_in_time: bool,
    /// Whether the move ended after the deadline on some VM, or its end was never reported.
    pub late: bool,
    /// Whether the VMs had different states at the end of the run.
    pub split: bool,
    /// Time of the last change of state that a VM decided itself, in seconds since the start.
    pub ended_s: f64,
    /// Requests sent to the new version.
    pub new_requests: u64,
    /// Requests sent to the new version that it was bad for.
    pub bad_requests: u64,
    /// Time from sufficient evidence for a rollback to the last request that a reachable VM sent to
    /// the new version, in seconds.
    pub reaction_s: Option<f64>,
    /// The same time from twice the sufficient evidence. The margin is for the VMs and the oracle
    /// seeing late counters in different orders.
    pub clear_reaction_s: Option<f64>,
    /// Reason of the last change of state that a VM decided itself.
    pub reason: String,
}
