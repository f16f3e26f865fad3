//! Time limits of the ledgers.

use std::time::Duration;

/// Time limits of the ledgers of calls and jobs; equal on all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Time for which a key is known; 72 h by default.
    pub call_window: Duration,
    /// Time for which the log keeps a record.
    pub retention: Duration,
    /// Largest difference between the wall clocks of two VMs. Keys are kept this much longer than
    /// the call window, so that a VM whose clock is ahead does not free a key too early.
    pub clock_margin: Duration,
}

impl LedgerLimits {
    /// Returns the time for which a key is kept.
    pub fn lifetime(&self) -> Duration {
        self.call_window + self.clock_margin
    }
}

impl Default for LedgerLimits {
    fn default() -> LedgerLimits {
        LedgerLimits {
            call_window: Duration::from_secs(72 * 3_600),
            retention: Duration::from_secs(24 * 3_600),
            clock_margin: Duration::from_secs(3_600),
        }
    }
}
