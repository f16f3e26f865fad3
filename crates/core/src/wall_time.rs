//! Wall-clock time, used only for dates that operators give and for the age of records.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Milliseconds since 1970-01-01T00:00:00Z.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct WallTime(u64);

impl WallTime {
    /// Builds a time from Unix milliseconds.
    pub const fn from_unix_millis(millis: u64) -> WallTime {
        WallTime(millis)
    }

    /// Returns Unix milliseconds.
    pub const fn as_unix_millis(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: WallTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` later.
    pub fn after(self, span: Duration) -> WallTime {
        WallTime(self.0.saturating_add(span.as_millis() as u64))
    }
}
