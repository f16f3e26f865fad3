//! Retry budget over a sliding window.

use std::{collections::VecDeque, time::Duration};

use dragonflycart_core::MonoTime;

/// Fraction of the deployment's retry ratio that is used. The margin covers requests near the two
/// ends of a window, which the deployment may count differently.
const RATIO_FRACTION: f64 = 0.7;
/// Fraction of the deployment's fixed allowance that all VMs together use.
const ALLOWANCE_FRACTION: f64 = 0.6;

/// Budget of the retries that one VM may send to one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    window: Duration,
    requests: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
}

impl RetryBudget {
    /// Builds a budget with a window of the given length.
    pub fn new(window: Duration) -> RetryBudget {
        RetryBudget { window, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a caller's request.
    pub fn note_request(&mut self, now: MonoTime) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Counts a retry that is sent regardless of the budget.
    pub fn note_retry(&mut self, now: MonoTime) {
        self.retries.push_back(now);
        self.forget(now);
    }

    /// Counts a retry and returns true if the budget allows it. The deployment allows `ratio`
    /// retries per request, plus `allowance` retries per window over all `vm_count` VMs.
    pub fn take_retry(
        &mut self,
        ratio: f64,
        allowance: f64,
        vm_count: usize,
        now: MonoTime,
    ) -> bool {
        self.forget(now);
        let own_allowance = ALLOWANCE_FRACTION * allowance / vm_count.max(1) as f64;
        let limit = RATIO_FRACTION * ratio * self.requests.len() as f64 + own_allowance;
        if self.retries.len() as f64 + 1.0 > limit {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn forget(&mut self, now: MonoTime) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) > self.window) {
                times.pop_front();
            }
        }
    }
}
