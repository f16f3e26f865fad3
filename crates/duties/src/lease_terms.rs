//! Times of the lease.

use std::time::Duration;

/// Share of the lease time by which a holder stops early and others wait longer. It covers the
/// drift of clocks and the delay between the check of a permit and the call on a busy VM.
const MARGIN_SHARE: f64 = 0.1;
/// Renewals per lease time. One of them may fail without a gap.
const RENEWALS: u32 = 3;
/// Share of the lease time over which the VMs spread their claims, so that usually only one VM
/// calls the store.
const SPREAD_SHARE: f64 = 0.5;

/// Times of the lease, the same for all VMs but for the spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    lease: Duration,
    spread: Duration,
}

impl LeaseTerms {
    /// Builds the terms for a lease time. `turn` is the place of the VM in the order of claims, from
    /// 0 to 1.
    pub fn new(lease: Duration, turn: f64) -> LeaseTerms {
        LeaseTerms { lease, spread: lease.mul_f64(SPREAD_SHARE * turn.clamp(0.0, 1.0)) }
    }

    /// Returns the lease time.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Returns the time after the start of a renewal for which the holder may act.
    pub fn acting_time(&self) -> Duration {
        self.lease - self.lease.mul_f64(MARGIN_SHARE)
    }

    /// Returns the time without a new record after which this VM may claim the lease.
    pub fn quiet_time(&self) -> Duration {
        self.lease + self.lease.mul_f64(MARGIN_SHARE) + self.spread
    }

    /// Returns the time between renewals.
    pub fn renewal_time(&self) -> Duration {
        self.lease / RENEWALS
    }

    /// Returns the time for which a VM that lost the lease does not claim it. It keeps the holders
    /// from alternating.
    pub fn loss_time(&self) -> Duration {
        self.lease * 2
    }

    /// Returns the time for which a VM that has just started waits for news of a holder before it
    /// reads the store.
    pub fn listening_time(&self) -> Duration {
        self.lease / 4 + self.spread
    }

    /// Returns the time before a failed call to the store is repeated, after a number of failures.
    /// All VMs but the holder wait longer, since a store that is down makes all of them call it.
    pub fn retry_time(&self, failures: u32, is_holder: bool) -> Duration {
        let pause = (self.lease / 15).saturating_mul(1 << failures.min(5)).min(self.lease);
        if is_holder { pause } else { pause * 2 }
    }
}
