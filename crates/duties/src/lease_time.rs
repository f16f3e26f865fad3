//! Time by two clocks.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Point in time by the steady clock, which stands still while the VM is suspended, and by the
/// boot-time clock, which does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTime {
    /// Steady clock.
    pub steady: MonoTime,
    /// Boot-time clock.
    pub boot: MonoTime,
}

impl LeaseTime {
    /// Returns the longest time that may have passed since `earlier`.
    pub fn longest_since(self, earlier: LeaseTime) -> Duration {
        self.steady.since(earlier.steady).max(self.boot.since(earlier.boot))
    }

    /// Returns the shortest time that may have passed since `earlier`.
    pub fn shortest_since(self, earlier: LeaseTime) -> Duration {
        self.steady.since(earlier.steady).min(self.boot.since(earlier.boot))
    }
}
