//! Budget of repeated requests over a sliding window.

use std::{collections::VecDeque, time::Duration};

use dragonflycart_core::MonoTime;

/// Part of the deployment's ratio that VMs use, so that requests which are counted differently at
/// the two ends of a window don't exceed it.
const RATIO_PART: f64 = 0.7;
/// Part of the deployment's fixed allowance that all VMs together use.
const ALLOWANCE_PART: f64 = 0.6;

/// Repeats that one VM may send to one service.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    window: Duration,
    requests: VecDeque<MonoTime>,
    repeats: VecDeque<MonoTime>,
}

impl RetryWindow {
    /// Builds the budget for a window of the given length.
    pub fn new(window: Duration) -> RetryWindow {
        RetryWindow { window, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Counts a request of a caller.
    pub fn note_request(&mut self, now: MonoTime) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Counts a repeat that is sent whatever the budget says.
    pub fn note_repeat(&mut self, now: MonoTime) {
        self.repeats.push_back(now);
        self.forget(now);
    }

    /// Counts a repeat and returns true if the budget allows it. The deployment allows `ratio`
    /// repeats per request and `allowance` more in a window over all `vm_count` VMs.
    pub fn take_repeat(
        &mut self,
        ratio: f64,
        allowance: f64,
        vm_count: usize,
        now: MonoTime,
    ) -> bool {
        self.forget(now);
        let own_allowance = ALLOWANCE_PART * allowance / vm_count.max(1) as f64;
        let limit = RATIO_PART * ratio * self.requests.len() as f64 + own_allowance;
        if self.repeats.len() as f64 + 1.0 > limit {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: MonoTime) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| now.since(*time) > self.window) {
                times.pop_front();
            }
        }
    }
}
