//! The only place where the daemon reads the wall clock and the clock behind [`MonoTime`].

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use dragonflycart_core::{MonoTime, WallTime};

/// Start of the monotonic clock. It exceeds the ages of events before the start of the process of
/// which peers tell it.
const START: MonoTime = MonoTime::from_millis(48 * 3_600_000);

/// Monotonic clock and wall clock of the process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NodeClock {
    start: Instant,
}

impl NodeClock {
    /// Starts the monotonic clock.
    pub(crate) fn start() -> NodeClock {
        NodeClock { start: Instant::now() }
    }

    /// Returns the monotonic time. It starts at two days, so that subtracting a duration from an
    /// early time does not saturate at zero.
    pub(crate) fn now(&self) -> MonoTime {
        START + self.start.elapsed()
    }

    /// Returns the wall-clock time.
    pub(crate) fn wall(&self) -> WallTime {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime::from_unix_millis(elapsed.as_millis() as u64)
    }
}
