//! Retry budget over a sliding window.

use std::{collections::VecDeque, time::Duration};

use dragonflycart_core::MonoTime;

use super::RetryLimit;

/// Fraction of the deployment's retry ratio that is used. Unused retries are kept for half a window,
/// so 1.5 times as many may be sent in a window.
const RATIO_FRACTION: f64 = 0.65;
/// Fraction of the deployment's fixed allowance that is used: half of it at once, and half spread
/// over the window.
const ALLOWANCE_FRACTION: f64 = 0.9;
/// Part of the window for which unused retries are kept.
const KEPT_WINDOWS: f64 = 0.5;

/// Budget of the retries that one VM may send to one service.
///
/// The budget is empty at the start, and requests and time fill it up to a limit. The retries of any
/// window are bounded therefore, however often the process is restarted in it: a new process knows
/// nothing of the retries of the one before, but has earned nothing either.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    window: Duration,
    requests: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
    /// Retries that may be sent now. Resumptions may make it negative.
    available: f64,
    /// Requests since the budget was last filled.
    new_requests: u32,
    filled_at: MonoTime,
}

impl RetryBudget {
    /// Builds an empty budget with a window of the given length.
    pub fn new(window: Duration, now: MonoTime) -> RetryBudget {
        RetryBudget {
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            available: 0.0,
            new_requests: 0,
            filled_at: now,
        }
    }

    /// Counts a caller's request.
    pub fn note_request(&mut self, now: MonoTime) {
        self.requests.push_back(now);
        self.new_requests += 1;
        self.forget(now);
    }

    /// Returns whether the budget allows a retry now.
    pub fn allows_retry(&mut self, limit: RetryLimit, now: MonoTime) -> bool {
        self.fill(limit, now);
        self.available >= 1.0
    }

    /// Returns the expected time until the budget allows a retry, if none is sent before, and as many
    /// requests arrive as in the last window. `None` if it never does.
    pub fn time_to_retry(&mut self, limit: RetryLimit, now: MonoTime) -> Option<Duration> {
        if self.allows_retry(limit, now) {
            return Some(Duration::ZERO);
        }
        let per_request = RATIO_FRACTION * limit.ratio;
        let per_window = ALLOWANCE_FRACTION * limit.allowance * (1.0 - KEPT_WINDOWS);
        let earned = per_request * self.requests.len() as f64 + per_window;
        let windows = (1.0 - self.available) / earned;
        Duration::try_from_secs_f64(windows * self.window.as_secs_f64()).ok()
    }

    /// Counts a retry and returns true if the budget allows it.
    pub fn take_retry(&mut self, limit: RetryLimit, now: MonoTime) -> bool {
        if !self.allows_retry(limit, now) {
            return false;
        }
        self.spend(now);
        true
    }

    /// Counts a generation that resumes on another server, and returns true if the deployment's
    /// limit allows it. A denied resumption costs a stream, so it may use all that is allowed; other
    /// retries wait until the budget has recovered.
    pub fn take_resumption(&mut self, limit: RetryLimit, now: MonoTime) -> bool {
        self.fill(limit, now);
        let allowed = limit.ratio * self.requests.len() as f64 + limit.allowance;
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.spend(now);
        true
    }

    /// Counts a generation that resumes whatever the budget allows.
    pub fn note_resumption(&mut self, limit: RetryLimit, now: MonoTime) {
        self.fill(limit, now);
        self.spend(now);
    }

    fn spend(&mut self, now: MonoTime) {
        self.available -= 1.0;
        self.retries.push_back(now);
    }

    /// Adds what was earned since the last call.
    fn fill(&mut self, limit: RetryLimit, now: MonoTime) {
        self.forget(now);
        let per_request = RATIO_FRACTION * limit.ratio;
        let per_window = ALLOWANCE_FRACTION * limit.allowance * (1.0 - KEPT_WINDOWS);
        let windows = now.since(self.filled_at).as_secs_f64() / self.window.as_secs_f64();
        self.available += per_request * f64::from(self.new_requests) + per_window * windows;
        self.new_requests = 0;
        self.filled_at = now;
        let kept_from = now - self.window.mul_f64(KEPT_WINDOWS);
        let recent = self.requests.iter().rev().take_while(|at| **at > kept_from).count();
        let kept_allowance = ALLOWANCE_FRACTION * limit.allowance * KEPT_WINDOWS;
        self.available = self.available.min(per_request * recent as f64 + kept_allowance);
    }

    fn forget(&mut self, now: MonoTime) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) > self.window) {
                times.pop_front();
            }
        }
    }
}
