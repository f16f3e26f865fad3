//! Rate limit on the appends of one VM over all topics.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Appends per second of one VM. With 9 VMs this is 225/s of the several hundred that the log
/// service takes.
const APPENDS_PER_SECOND: u32 = 25;

/// Appends that may be sent at once after an idle period.
const BURST: u32 = 5;

/// Token bucket for appends.
#[derive(Debug, Clone)]
pub struct AppendRateLimiter {
    interval: Duration,
    burst: Duration,
    /// Time from which the bucket is full again.
    full_at: MonoTime,
}

impl AppendRateLimiter {
    /// Creates a full bucket with the default rate and burst.
    pub fn new() -> AppendRateLimiter {
        AppendRateLimiter::with_rate(APPENDS_PER_SECOND, BURST)
    }

    /// Creates a full bucket for `rate` appends per second. Zero counts as 1 for both values.
    pub fn with_rate(rate: u32, burst: u32) -> AppendRateLimiter {
        let interval = Duration::from_secs(1) / rate.max(1);
        let full_at = MonoTime::default();
        AppendRateLimiter { interval, burst: interval * burst.max(1), full_at }
    }

    /// Takes one append out of the bucket.
    ///
    /// # Errors
    ///
    /// Returns the earliest time at which an append is allowed.
    pub fn take(&mut self, now: MonoTime) -> Result<(), MonoTime> {
        let full_at = self.full_at.max(now) + self.interval;
        if full_at.since(now) > self.burst {
            return Err(full_at - self.burst);
        }
        self.full_at = full_at;
        Ok(())
    }
}

impl Default for AppendRateLimiter {
    fn default() -> AppendRateLimiter {
        AppendRateLimiter::new()
    }
}
