//! Limit on concurrent model loads.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Initial limit on concurrent loads, before the weight store has answered.
const INITIAL_WINDOW: u32 = 2;

/// Upper bound of the limit on concurrent loads.
const MAX_WINDOW: u32 = 64;

/// First and longest backoff after a refusal by the weight store.
const BACKOFF: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(60));

/// Adaptive limit on the concurrent model loads that one VM starts: a finished load increases the
/// window by one; a refusal by the weight store halves it and delays the next request.
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
            window: INITIAL_WINDOW,
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

    /// Counts a load that the weight store granted.
    pub fn granted(&mut self) {
        self.running += 1;
        self.refusals = 0;
    }

    /// Counts the end of a granted load. `loaded` is false if it failed or timed out.
    pub fn ended(&mut self, loaded: bool) {
        self.running = self.running.saturating_sub(1);
        if loaded {
            self.window = (self.window + 1).min(MAX_WINDOW);
        }
    }

    /// Counts a load that the weight store refused. `retry_after` is the delay that it asked for,
    /// if any. `jitter` is between 0 and 1 and spreads the next requests of the VMs.
    pub fn refused(&mut self, now: MonoTime, retry_after: Option<Duration>, jitter: f64) {
        self.window = (self.window / 2).max(1);
        let backoff = (BACKOFF.0 * (1 << self.refusals.min(6))).min(BACKOFF.1);
        self.refusals = self.refusals.saturating_add(1);
        let wait = retry_after.unwrap_or_default().max(backoff);
        self.wait_until = now + wait + wait.mul_f64(0.5 * jitter.clamp(0.0, 1.0));
    }
}
