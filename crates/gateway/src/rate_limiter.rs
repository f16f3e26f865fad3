//! Rate limiter for requests.

use dragonflycart_core::MonoTime;

/// Token bucket with a burst of one request.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RateLimiter {
    next_at: MonoTime,
}

impl RateLimiter {
    /// Returns whether a request may be sent at `now`.
    pub fn allows(&self, now: MonoTime) -> bool {
        now >= self.next_at
    }

    /// Counts a request that is sent at `now` under a limit of `rate` requests per second.
    pub fn take(&mut self, rate: f64, now: MonoTime) {
        let interval = std::time::Duration::from_secs_f64(1.0 / rate.max(0.01));
        self.next_at = self.next_at.max(now) + interval;
    }
}
