//! Limit on concurrent loads.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Loads allowed at once before the weight store has answered.
const FIRST_WINDOW: u32 = 2;

/// Highest number of loads at once.
const WINDOW_MAX: u32 = 64;

/// First and longest time without a new request after the weight store refused one.
const BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// Limit on the concurrent loads that one VM starts, learned from the answers of the weight store:
/// a finished load widens the window by one, a refusal halves it and delays the next request.
#[derive(Debug, Clone)]
pub struct ModelLoadLimiter {
    window: u32,
    running: u32,
    refusals: u32,
    wait_until: MonoTime,
}

impl Default for ModelLoadLimiter {
    fn default() -> ModelLoadLimiter {
        ModelLoadLimiter {
            window: FIRST_WINDOW,
            running: 0,
            refusals: 0,
            wait_until: MonoTime::default(),
        }
    }
}

impl ModelLoadLimiter {
    /// Returns whether the weight store may be asked for another load.
    pub fn may_begin(&self, now: MonoTime) -> bool {
        self.running < self.window && now >= self.wait_until
    }

    /// Notes that the weight store granted a load.
    pub fn granted(&mut self) {
        self.running += 1;
        self.refusals = 0;
    }

    /// Notes that a granted load finished, failed or timed out.
    pub fn ended(&mut self, loaded: bool) {
        self.running = self.running.saturating_sub(1);
        if loaded {
            self.window = (self.window + 1).min(WINDOW_MAX);
        }
    }

    /// Notes that the weight store refused a load. `retry_after` is what it asked for, if it did;
    /// `jitter` between 0 and 1 spreads the VMs.
    pub fn refused(&mut self, now: MonoTime, retry_after: Option<Duration>, jitter: f64) {
        self.window = (self.window / 2).max(1);
        let backoff = (BACKOFF.0 * (1 << self.refusals.min(6))).min(BACKOFF.1);
        self.refusals = self.refusals.saturating_add(1);
        let wait = retry_after.unwrap_or_default().max(backoff);
        self.wait_until = now + wait + wait.mul_f64(0.5 * jitter.clamp(0.0, 1.0));
    }
}
