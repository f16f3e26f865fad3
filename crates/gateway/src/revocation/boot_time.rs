//! Time that includes suspension of the VM.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Point in time since the VM's boot. Unlike the monotonic clock, this clock keeps running while
/// the VM is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Builds a point in time from the time since boot.
    pub const fn from_boot(elapsed: Duration) -> BootTime {
        BootTime(elapsed)
    }

    /// Reads the clock.
    ///
    /// # Panics
    ///
    /// Panics if the operating system has no such clock.
    pub fn now() -> BootTime {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has a boot-time clock");
        BootTime(time.into())
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: BootTime) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the point in time `span` before this one, or `None` if that is before the boot.
    pub fn before(self, span: Duration) -> Option<BootTime> {
        self.0.checked_sub(span).map(BootTime)
    }
}
