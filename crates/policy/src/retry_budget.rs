//! Budget of retries.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Retries that may be saved up, so that a short failure can be absorbed. A burst of this size is
/// far below 10% of a minute's traffic.
const BURST_RETRIES: f64 = 10.0;

/// Time without a new request after which the budget fills by itself. Without this, requests that
/// failed at the end of a busy phase would wait for traffic that does not come.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Retries per second by which the budget of an idle VM fills.
const IDLE_RETRIES: f64 = 2.0;

/// Token bucket that each new request fills by a fixed share and each retry drains by one, so
/// that retries stay a fixed share of the requests whatever fails.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
    /// Time up to which the budget was filled, or from which the VM counts as idle.
    filled_to: MonoTime,
}

impl RetryBudget {
    /// Builds a budget that allows `share` retries per request.
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

    /// Fills the budget for the time without new requests. Retries do no harm then.
    pub fn refill(&mut self, now: MonoTime) {
        let idle = now.since(self.filled_to);
        self.filled_to = self.filled_to.max(now);
        self.tokens = (self.tokens + idle.as_secs_f64() * IDLE_RETRIES).min(BURST_RETRIES);
    }

    /// Takes the permission for one retry, if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
