//! Budget of retries.

/// Retries that may be saved up, so that a short failure can be absorbed. A burst of this size is
/// far below 10% of a minute's traffic.
const BURST_RETRIES: f64 = 10.0;

/// Token bucket that each new request fills by a fixed share and each retry drains by one, so
/// that retries stay a fixed share of the requests whatever fails.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Builds a budget that allows `share` retries per request.
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget { share, tokens: BURST_RETRIES.min(share * 100.0) }
    }

    /// Counts a new request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(BURST_RETRIES);
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
