//! Detects that this VM did not run for a while.

use std::time::Duration;

use crate::BootTime;

/// Time between two checks from which the VM counts as having been paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(600);
/// Time after a pause in which reports of the other VMs arrive.
const CATCH_UP_TIME: Duration = Duration::from_millis(800);

/// Guard against decisions that a VM makes right after a pause, before it has heard what the others
/// found in the meantime.
#[derive(Debug, Default)]
pub struct PauseGuard {
    checked_at: Option<BootTime>,
    paused_until: Option<BootTime>,
}

impl PauseGuard {
    /// Returns whether this VM has run without a pause for long enough. Must be called at short
    /// intervals.
    pub fn is_current(&mut self, now: BootTime) -> bool {
        let last = self.checked_at.replace(now);
        if last.is_none_or(|last| now.since(last) > PAUSE_LIMIT) {
            self.paused_until = Some(now);
        }
        self.paused_until.is_none_or(|at| now.since(at) >= CATCH_UP_TIME)
    }
}
