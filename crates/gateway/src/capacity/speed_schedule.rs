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
    /// Returns the turn of the speeds in a report that is sent now, or `None` if it contains none.
    ///
    /// Speeds change slowly and changes of load are reported at a high rate, so speeds are sent once
    /// per interval. `is_for_all` is whether the report goes to all VMs: in a small fleet, reports of
    /// changes do, and under load they take the place of those at intervals.
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
