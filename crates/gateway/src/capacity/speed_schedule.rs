//! Decides which reports contain measured speeds.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Schedule of the reports that contain measured speeds.
#[derive(Debug, Clone, Default)]
pub struct SpeedSchedule {
    turn: u64,
    sent_at: Option<MonoTime>,
}

impl SpeedSchedule {
    /// Returns the number of a report that is sent now among those with speeds, or `None` if it
    /// contains no speeds. `is_for_all` is whether it goes to all VMs.
    ///
    /// Changes of load are reported at a high rate, but speeds change slowly and are sent once per
    /// interval. In a small fleet, reports of changes go to all VMs and postpone the reports at
    /// intervals, so they must contain speeds, too.
    pub fn next_turn(
        &mut self,
        is_for_all: bool,
        interval: Duration,
        now: MonoTime,
    ) -> Option<u64> {
        let is_due = self.sent_at.is_none_or(|sent| now.since(sent) >= interval);
        if !is_for_all || !is_due {
            return None;
        }
        self.sent_at = Some(now);
        self.turn += 1;
        Some(self.turn)
    }
}
