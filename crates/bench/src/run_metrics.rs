//! Measurements of one run.

use dragonflycart_policy::PriorityClass;
use hdrhistogram::Histogram;

/// Part of a gap between two tokens that doesn't count as a stall, in milliseconds.
pub const STALL_AFTER: f64 = 250.0;
/// Time after which every VM must know that a server turned cold, in milliseconds.
pub(crate) const COLD_KNOWN_AFTER: f64 = 1_000.0;

/// Measurements of one run. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct RunMetrics {
    /// Gaps between two tokens of a request, in microseconds.
    pub gaps: Histogram<u64>,
    /// Times to first token of interactive requests, in microseconds.
    pub first_tokens: Histogram<u64>,
    /// Sum of the parts of gaps beyond `STALL_AFTER`.
    pub stall: f64,
    /// Preemptions by engines.
    pub preemptions: u64,
    /// Tokens delivered.
    pub tokens: u64,
    /// Tokens of requests that ended within their deadline.
    pub tokens_in_time: u64,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that ended within their deadline.
    pub in_time: u64,
    /// Requests that were rejected before they started.
    pub rejected: u64,
    /// Requests that were ended after they started.
    pub interrupted: u64,
    /// Tokens asked for, per team.
    pub team_demand: Vec<u64>,
    /// Tokens in time, per team.
    pub team_served: Vec<u64>,
    /// Requests sent to a cold engine beyond its limit.
    pub cold_over: u64,
    /// The part of them that was sent after every VM must have known.
    pub cold_over_known: u64,
    /// Largest excess over the limit of a cold engine that was known to be cold.
    pub cold_excess: u32,
    /// First dispatches.
    pub dispatches: u64,
    /// Dispatches of requests that were dispatched before.
    pub retries: u64,
    /// Failures of engines.
    pub engine_failures: u64,
    /// Times from the start of a cold engine to 0.9 of its share of the load.
    pub ramp_times: Vec<f64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("the bounds are valid")
}

impl RunMetrics {
    /// Builds empty measurements.
    pub fn new(teams: usize) -> RunMetrics {
        RunMetrics {
            gaps: histogram(),
            first_tokens: histogram(),
            stall: 0.0,
            preemptions: 0,
            tokens: 0,
            tokens_in_time: 0,
            arrived: 0,
            in_time: 0,
            rejected: 0,
            interrupted: 0,
            team_demand: vec![0; teams],
            team_served: vec![0; teams],
            cold_over: 0,
            cold_over_known: 0,
            cold_excess: 0,
            dispatches: 0,
            retries: 0,
            engine_failures: 0,
            ramp_times: Vec::new(),
        }
    }

    /// Records a token. `since` is the time since the previous token of the request, or since its
    /// submission for the first one.
    pub fn token(&mut self, first: bool, class: PriorityClass, since: f64) {
        self.tokens += 1;
        let micros = (since * 1_000.0) as u64;
        if !first {
            self.gaps.saturating_record(micros);
            self.stall += (since - STALL_AFTER).max(0.0);
        } else if class == PriorityClass::Interactive {
            self.first_tokens.saturating_record(micros);
        }
    }

    /// Records a request that was sent to a cold engine beyond its limit.
    pub(crate) fn cold_arrival(&mut self, cold_for: f64, excess: u32) {
        self.cold_over += 1;
        if cold_for > COLD_KNOWN_AFTER {
            self.cold_over_known += 1;
            self.cold_excess = self.cold_excess.max(excess);
        }
    }

    /// Returns the lowest ratio of served to demanded tokens over the teams whose demand is below
    /// an equal share of what was served.
    pub fn small_team_share(&self) -> f64 {
        let served: u64 = self.team_served.iter().sum();
        let equal = served / self.team_served.len().max(1) as u64;
        let mut lowest: f64 = 1.0;
        for (demand, served) in self.team_demand.iter().zip(&self.team_served) {
            if *demand > 0 && *demand <= equal {
                lowest = lowest.min(*served as f64 / *demand as f64);
            }
        }
        lowest
    }
}
