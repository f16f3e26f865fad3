//! Time limits of the ledgers.

use std::time::Duration;

/// Time limits of the ledgers of calls and jobs. They are equal on all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Time for which a key is valid; 72 h by default.
    pub call_window: Duration,
    /// Time for which the log keeps a record.
    pub retention: Duration,
    /// Maximum difference between the wall clocks of two VMs. Keys are kept this much longer than
    /// the call window, so that a VM whose clock is ahead does not free a key too early.
    pub max_clock_skew: Duration,
}

impl LedgerLimits {
    /// Returns the time for which a key is kept.
    pub fn lifetime(&self) -> Duration {
        self.call_window + self.max_clock_skew
    }
}

impl Default for LedgerLimits {
    fn default() -> LedgerLimits {
        LedgerLimits {
            call_window: Duration::from_secs(72 * 3_600),
            retention: Duration::from_secs(24 * 3_600),
            max_clock_skew: Duration::from_secs(3_600),
        }
    }
}
