//! Clocks of the duties.

use dragonflycart_core::MonoTime;
use dragonflycart_duties::LeaseTime;

use crate::{BootTime, GatewayClock};

/// Reads the clocks that the lease depends on.
pub(super) fn lease_time(clock: &GatewayClock) -> LeaseTime {
    LeaseTime { steady: clock.now(), boot: boot_time() }
}

/// Reads the boot-time clock.
pub(super) fn boot_time() -> MonoTime {
    let since_boot = BootTime::now().since(BootTime::from_boot(std::time::Duration::ZERO));
    MonoTime::default() + since_boot
}
