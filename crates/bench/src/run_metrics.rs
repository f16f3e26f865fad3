//! Measurements of one run.

use dragonflycart_policy::PriorityClass;
use hdrhistogram::Histogram;

/// Gap between two tokens beyond which the rest of the gap counts as a stall, in milliseconds.
pub const STALL_THRESHOLD: f64 = 250.0;
/// Time after which every VM must know that an engine is cold, in milliseconds.
pub(crate) const COLD_PROPAGATION_TIME: f64 = 1_000.0;

/// Measurements of one run. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct RunMetrics {
    /// Gaps between two tokens of a request, in microseconds.
    pub token_gaps: Histogram<u64>,
    /// Times to first token of interactive requests, in microseconds.
    pub first_token_times: Histogram<u64>,
    /// Sum of the parts of gaps beyond `STALL_THRESHOLD`.
    pub stall: f64,
    /// Preemptions by engines and by the schedulers.
    pub preemptions: u64,
    /// Tokens delivered.
    pub tokens: u64,
    /// Tokens of requests that were completed within their deadline.
    pub tokens_in_time: u64,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were completed within their deadline.
    pub in_time: u64,
    /// Requests that were rejected before their first dispatch.
    pub rejected: u64,
    /// Requests that were cancelled or rejected after they had been dispatched.
    pub interrupted: u64,
    /// Output tokens of the requests that arrived, per team.
    pub team_demand: Vec<u64>,
    /// Tokens of requests that were completed within their deadline, per team.
    pub team_served: Vec<u64>,
    /// Requests that reached a cold engine over its limit.
    pub over_cold_limit: u64,
    /// Those of them that arrived after every VM must have known that the engine was cold.
    pub over_known_cold_limit: u64,
    /// Highest number of requests over the limit of an engine that was known to be cold.
    pub max_known_cold_excess: u32,
    /// Requests that were dispatched for the first time.
    pub dispatches: u64,
    /// Dispatches of requests that were dispatched before.
    pub retries: u64,
    /// Failures of engines.
    pub engine_failures: u64,
    /// Times from the restart of an engine until it ran 0.9 times as many requests as a warm engine
    /// on average.
    pub ramp_times: Vec<f64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("the bounds are valid")
}

impl RunMetrics {
    /// Builds empty measurements.
    pub fn new(teams: usize) -> RunMetrics {
        RunMetrics {
            token_gaps: histogram(),
            first_token_times: histogram(),
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
            over_cold_limit: 0,
            over_known_cold_limit: 0,
            max_known_cold_excess: 0,
            dispatches: 0,
            retries: 0,
            engine_failures: 0,
            ramp_times: Vec::new(),
        }
    }

    /// Records a token. `since` is the time since the previous token of the request, or since its
    /// submission for the first one.
    pub fn record_token(&mut self, first: bool, class: PriorityClass, since: f64) {
        self.tokens += 1;
        let micros = (since * 1_000.0) as u64;
        if !first {
            self.token_gaps.saturating_record(micros);
            self.stall += (since - STALL_THRESHOLD).max(0.0);
        } else if class == PriorityClass::Interactive {
            self.first_token_times.saturating_record(micros);
        }
    }

    /// Records a request that reached a cold engine over its limit. `cold_for` is the time since
    /// the engine became cold, `excess` the number of requests over its limit.
    pub(crate) fn record_over_cold_limit(&mut self, cold_for: f64, excess: u32) {
        self.over_cold_limit += 1;
        if cold_for > COLD_PROPAGATION_TIME {
            self.over_known_cold_limit += 1;
            self.max_known_cold_excess = self.max_known_cold_excess.max(excess);
        }
    }

    /// Returns the lowest ratio of served to demanded tokens over the teams whose demand is below
    /// an equal share of what was served.
    pub fn min_small_team_ratio(&self) -> f64 {
        let served: u64 = self.team_served.iter().sum();
        let equal_share = served / self.team_served.len().max(1) as u64;
        let mut lowest: f64 = 1.0;
        for (demand, served) in self.team_demand.iter().zip(&self.team_served) {
            if *demand > 0 && *demand <= equal_share {
                lowest = lowest.min(*served as f64 / *demand as f64);
            }
        }
        lowest
    }
}
