//! True time in spite of a time of day that jumps.

use std::{collections::VecDeque, time::Duration};

use dragonflycart_core::MonoTime;

/// Time for which offsets are kept. A jump of the time of day that is undone within half of it has
/// no effect.
const HISTORY: Duration = Duration::from_secs(90);
/// Least time between two kept offsets.
const SAMPLE_SPACING: Duration = Duration::from_millis(900);

/// Offset of Unix time to the boot-time clock, as the median of its values over a while.
#[derive(Debug, Clone, Default)]
pub(crate) struct OffsetHistory {
    samples: VecDeque<(MonoTime, i64)>,
}

impl OffsetHistory {
    /// Records that it was `unix_ms` at `boot`.
    pub(crate) fn note(&mut self, boot: MonoTime, unix_ms: u64) {
        if self.samples.back().is_some_and(|(at, _)| boot.since(*at) < SAMPLE_SPACING) {
            return;
        }
        self.samples.push_back((boot, unix_ms as i64 - boot_ms(boot)));
        while self.samples.front().is_some_and(|(at, _)| boot.since(*at) > HISTORY) {
            self.samples.pop_front();
        }
    }

    /// Returns the median offset, in milliseconds.
    pub(crate) fn median(&self) -> Option<i64> {
        median(self.samples.iter().map(|(_, offset)| *offset).collect())
    }

    /// Returns the time of the latest value.
    pub(crate) fn latest(&self) -> Option<MonoTime> {
        self.samples.back().map(|(at, _)| *at)
    }
}

/// Returns the median of some offsets.
pub(crate) fn median(mut offsets: Vec<i64>) -> Option<i64> {
    offsets.sort_unstable();
    offsets.get(offsets.len() / 2).copied()
}

/// Returns a boot time in milliseconds.
pub(crate) fn boot_ms(boot: MonoTime) -> i64 {
    (boot.as_micros() / 1_000) as i64
}

/// Time for which the holder's time is used after its last announcement.
const FLEET_TIME_AGE: Duration = Duration::from_secs(20);

/// Estimate of true time. It follows the time that the holder announces, which is the median over
/// the fleet, and else this VM's own time of day without its jumps.
#[derive(Debug, Clone, Default)]
pub struct TrueClock {
    own: OffsetHistory,
    fleet: OffsetHistory,
}

impl TrueClock {
    /// Records this VM's time of day.
    pub fn note_time_of_day(&mut self, boot: MonoTime, unix_ms: u64) {
        self.own.note(boot, unix_ms);
    }

    /// Records the time that the holder announced.
    pub fn note_fleet_time(&mut self, boot: MonoTime, unix_ms: u64) {
        self.fleet.note(boot, unix_ms);
    }

    /// Returns the own estimate of Unix time in milliseconds.
    pub fn own_unix_ms(&self, boot: MonoTime) -> Option<u64> {
        u64::try_from(boot_ms(boot) + self.own.median()?).ok()
    }

    /// Returns the estimate of Unix time in milliseconds.
    pub fn unix_ms(&self, boot: MonoTime) -> Option<u64> {
        let is_announced = self.fleet.latest().is_some_and(|at| boot.since(at) <= FLEET_TIME_AGE);
        if !is_announced {
            return self.own_unix_ms(boot);
        }
        u64::try_from(boot_ms(boot) + self.fleet.median()?).ok()
    }
}
