//! Retry budget.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Highest number of retries that may accumulate, so that a short failure can be handled. A burst
/// of this size is far below 10% of a minute's traffic.
const BURST_RETRIES: f64 = 10.0;

/// Time without new requests after which the budget refills over time. Without this, requests that
/// fail at the end of a busy period would wait for new traffic that does not come.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Rate at which the budget of an idle VM refills, in retries per second.
const IDLE_RETRIES: f64 = 2.0;

/// Token bucket to which each new request adds a fixed fraction of a token and from which each
/// retry takes one, so that retries stay a fixed share of the requests, whatever fails.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
    /// Time up to which the budget was refilled, or from which the VM counts as idle.
    filled_to: MonoTime,
}

impl RetryBudget {
    /// Creates a budget that allows `share` retries per request.
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget {
            share,
            tokens: BURST_RETRIES.min(share * 100.0),
            filled_to: MonoTime::default(),
        }
    }

    /// Counts a new request.
    pub fn deposit(&mut self, now: MonoTime) {
        self.filled_to = self.filled_to.max(now + IDLE_TIME);
        self.tokens = (self.tokens + self.share).min(BURST_RETRIES);
    }

    /// Refills the budget for the time without new requests, when retries do no harm.
    pub fn refill(&mut self, now: MonoTime) {
        let idle = now.since(self.filled_to);
        self.filled_to = self.filled_to.max(now);
        self.tokens = (self.tokens + idle.as_secs_f64() * IDLE_RETRIES).min(BURST_RETRIES);
    }

    /// Takes a token for one retry. Returns false if there is none.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
