//! Rate limiter.

/// Token bucket. Its capacity is the number of tokens of one second, but at least 1.
pub(crate) struct RateLimiter {
    rate: f64,
    level: f64,
    refilled_at_ms: u64,
}

impl RateLimiter {
    /// Builds a full bucket.
    pub(crate) fn new(rate: f64) -> RateLimiter {
        RateLimiter { rate, level: rate.max(1.0), refilled_at_ms: 0 }
    }

    /// Changes the rate.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        self.level = self.level.min(rate.max(1.0));
    }

    /// Takes one token from the bucket.
    ///
    /// # Errors
    ///
    /// If the bucket is empty, returns the milliseconds until a token is available.
    pub(crate) fn try_acquire(&mut self, now_ms: u64) -> Result<(), u64> {
        let elapsed = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1_000.0;
        self.refilled_at_ms = now_ms;
        self.level = (self.level + elapsed * self.rate).min(self.rate.max(1.0));
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(((1.0 - self.level) / self.rate * 1_000.0).ceil() as u64)
    }
}
