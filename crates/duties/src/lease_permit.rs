//! Permit of the holder to act.

use std::time::Duration;

/// Permit to make calls in the name of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasePermit {
    /// Number of the holder.
    pub number: u64,
    /// Time for which the holder may act. Every call must have ended by then.
    pub remaining: Duration,
}
