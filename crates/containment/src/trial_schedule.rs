//! When a contained part is tried.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Maximum time from the first to the last end of engines that end together for one reason.
pub(crate) const COMMON_END_TIME: Duration = Duration::from_millis(500);
/// Time from a common end until which each VM may try a part. At most three requests that crash
/// engines may reach them later than 3 s after the crashes, and a request may wait for its engine.
const OPEN_TRIAL_TIME: Duration = Duration::from_secs(2);
/// Number of VMs that may try a part in a round after that time. With the first trial after the
/// hold time, these are the three requests.
const LATE_TRIAL_VMS: usize = 2;
/// Time from the last crash after which a contained part is tried for the first time. It ends the
/// containment of a part that was only present at the crashes.
const FIRST_HOLD_TIME: Duration = Duration::from_secs(10);
/// The same after a trial that crashed its engine.
const HOLD_TIME: Duration = Duration::from_secs(5 * 60);
/// Length of a round of trials, in which the result of one is known to all VMs.
const TRIAL_ROUND: Duration = Duration::from_secs(10);

/// Evidence on which a part is contained, which decides when it is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrialSchedule {
    /// A common end of the engines, for another reason, is as likely as crashes.
    CommonEnd,
    /// Engines crashed one after the other.
    Crashes,
    /// A trial crashed its engine, too.
    FailedTrial,
}

/// Round of trials.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TrialRound {
    /// Number of the round since the last crash.
    pub(crate) number: u64,
    /// Number of VMs that may try the part; all of them if `None`.
    pub(crate) vms: Option<usize>,
}

impl TrialSchedule {
    /// Returns the time from the last crash to the first round.
    pub(crate) fn hold_time(self) -> Duration {
        match self {
            // A crash in a trial comes too late then for the common end.
            TrialSchedule::CommonEnd => COMMON_END_TIME,
            TrialSchedule::Crashes => FIRST_HOLD_TIME,
            TrialSchedule::FailedTrial => HOLD_TIME,
        }
    }

    /// Returns the round that is due, or `None` before the first one.
    pub(crate) fn round(self, last_crash: MonoTime, now: MonoTime) -> Option<TrialRound> {
        let held = now.since(last_crash);
        let past = held.checked_sub(self.hold_time())?;
        let rounds = |time: Duration| (time.as_millis() / TRIAL_ROUND.as_millis()) as u64;
        if self != TrialSchedule::CommonEnd {
            return Some(TrialRound { number: rounds(past), vms: Some(1) });
        }
        match held.checked_sub(OPEN_TRIAL_TIME) {
            None => Some(TrialRound { number: 0, vms: None }),
            Some(late) => Some(TrialRound { number: 1 + rounds(late), vms: Some(LATE_TRIAL_VMS) }),
        }
    }

    /// Returns the time after which a refused request may be repeated.
    pub(crate) fn retry_after(self, last_crash: MonoTime, now: MonoTime) -> Duration {
        let left = self.hold_time().saturating_sub(now.since(last_crash));
        match self {
            _ if !left.is_zero() => left,
            TrialSchedule::CommonEnd => OPEN_TRIAL_TIME,
            TrialSchedule::Crashes | TrialSchedule::FailedTrial => TRIAL_ROUND,
        }
    }
}
