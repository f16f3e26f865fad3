//! The only place where the gateway reads clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dragonflycart_core::MonoTime;
use tokio::time::Instant;

/// Start of the monotonic clock. It exceeds the ages of events before the start of the process of
/// which peers tell it.
const START: MonoTime = MonoTime::from_millis(48 * 3_600_000);

/// Clocks of the process.
#[derive(Debug, Clone, Copy)]
pub struct GatewayClock {
    start: Instant,
}

impl GatewayClock {
    /// Starts the monotonic clock.
    pub fn start() -> GatewayClock {
        GatewayClock { start: Instant::now() }
    }

    /// Returns the monotonic time. It starts at two days, so that subtracting a duration from an
    /// early time does not saturate at zero.
    pub fn now(&self) -> MonoTime {
        self.at(Instant::now())
    }

    /// Returns the monotonic time of an instant.
    pub fn at(&self, instant: Instant) -> MonoTime {
        START + instant.saturating_duration_since(self.start)
    }

    /// Returns the wall-clock time in Unix milliseconds.
    pub fn unix_ms() -> u64 {
        let since_epoch: Duration =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        since_epoch.as_millis() as u64
    }
}
