//! Monotonic time within one process.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Point on the monotonic clock of one process, in microseconds since an arbitrary start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MonoTime(u64);

impl MonoTime {
    /// Builds a point in time from microseconds.
    pub const fn from_micros(micros: u64) -> MonoTime {
        MonoTime(micros)
    }

    /// Builds a point in time from milliseconds.
    pub const fn from_millis(millis: u64) -> MonoTime {
        MonoTime(millis * 1_000)
    }

    /// Returns the microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the seconds since the start of the clock.
    pub fn as_secs_f64(self) -> f64 {
        Duration::from_micros(self.0).as_secs_f64()
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: MonoTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = MonoTime;

    fn add(self, span: Duration) -> MonoTime {
        MonoTime(self.0.saturating_add(whole_micros(span)))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = MonoTime;

    fn sub(self, span: Duration) -> MonoTime {
        MonoTime(self.0.saturating_sub(whole_micros(span)))
    }
}

fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
