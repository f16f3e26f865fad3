//! Outcome of one run of the version move experiment.

use serde::Serialize;

/// Outcome of one run, a row of the CSV file.
#[derive(Debug, Clone, Serialize)]
pub struct MovesOutcome {
    /// Scenario.
    pub scenario: String,
    /// Policy: `sequential` or `fixed_steps`.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// State at the end of the watch, the same on all VMs.
    pub state: String,
    /// Whether the move was done on all VMs by the deadline.
    pub done_in_time: bool,
    /// Whether the move ended late on some VM, or its end was never reported.
    pub late: bool,
    /// Whether the VMs disagreed at the end.
    pub split: bool,
    /// Time of the first end on any VM, in seconds since the start.
    pub ended_s: f64,
    /// Requests that the new version got.
    pub new_requests: u64,
    /// Requests that the new version got while it was bad for them.
    pub bad_requests: u64,
    /// Time from sufficient evidence to the last request to the new version on a reachable VM.
    pub reaction_s: Option<f64>,
    /// The same from twice the sufficient evidence, a margin for the different order in which the
    /// VMs and the oracle see late counters.
    pub clear_reaction_s: Option<f64>,
    /// Reason of the first end.
    pub reason: String,
}
