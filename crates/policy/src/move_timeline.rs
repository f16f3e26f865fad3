//! Schedule of a version move between its start and its deadline.

use std::time::Duration;

use dragonflycart_core::{VersionMove, WallTime};

/// Highest share before the ramp of [`RAMP_FRACTIONS`] begins.
const INITIAL_MAX_SHARE: f64 = 0.5;

/// Highest share before the move is done. The remaining requests go to the old version for
/// comparison: at a share of 0.9, one failure of the new version carries twice the statistical
/// evidence that it carries at 0.95.
pub(crate) const FULL_SHARE: f64 = 0.9;

/// Fractions of the duration between which the highest share rises from [`INITIAL_MAX_SHARE`] to
/// [`FULL_SHARE`]. It rises slowly so that a version that fails only under load begins to fail at a
/// share only slightly above what it can handle.
const RAMP_FRACTIONS: (f64, f64) = (0.4, 0.62);

/// Fraction of the duration after which the move may be done.
const EARLIEST_DONE_FRACTION: f64 = 0.75;

/// Number of steps in which the share grows over the duration of the move.
const RAMP_STEPS: f64 = 60.0;

/// Shortest step. The counters of one step must arrive before the next step ends.
const MIN_STEP_S: f64 = 5.0;

/// Longest step.
const MAX_STEP_S: f64 = 60.0;

/// Shortest time that is reserved for a rollback before the deadline. A rollback reaches all VMs in
/// less than this.
const MIN_ROLLBACK_RESERVE: Duration = Duration::from_secs(10);

/// Schedule of a version move between its start and its deadline: the highest share over time, the
/// earliest time at which the move may be done, and the time reserved for a rollback.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveTimeline {
    start: WallTime,
    deadline: WallTime,
}

impl MoveTimeline {
    /// Creates the schedule of a move.
    pub fn new(plan: &VersionMove) -> MoveTimeline {
        MoveTimeline { start: plan.start, deadline: plan.deadline.max(plan.start) }
    }

    /// Returns whether the move has started.
    pub fn has_started(&self, now: WallTime) -> bool {
        now >= self.start
    }

    /// Returns whether the deadline has passed.
    pub fn is_over(&self, now: WallTime) -> bool {
        now >= self.deadline
    }

    /// Returns whether the move may be done if the new version is accepted.
    pub fn may_finish(&self, now: WallTime) -> bool {
        self.elapsed_fraction(now) >= EARLIEST_DONE_FRACTION
    }

    /// Returns whether a version that is not accepted yet must be rolled back now, so that the
    /// rollback is in effect on all VMs before the deadline.
    pub fn must_decide(&self, now: WallTime) -> bool {
        now.after(self.rollback_reserve()) >= self.deadline
    }

    /// Returns the highest share of the new version at this time.
    pub fn max_share(&self, now: WallTime) -> f64 {
        let ramped =
            (self.elapsed_fraction(now) - RAMP_FRACTIONS.0) / (RAMP_FRACTIONS.1 - RAMP_FRACTIONS.0);
        INITIAL_MAX_SHARE + (FULL_SHARE - INITIAL_MAX_SHARE) * ramped.clamp(0.0, 1.0)
    }

    /// Returns the length of one step of the ramp, in seconds.
    pub fn step_s(&self) -> f64 {
        (self.span().as_secs_f64() / RAMP_STEPS).clamp(MIN_STEP_S, MAX_STEP_S)
    }

    /// Returns the time from the start to the deadline.
    pub fn span(&self) -> Duration {
        self.deadline.since(self.start)
    }

    fn rollback_reserve(&self) -> Duration {
        (self.span() / 50).max(MIN_ROLLBACK_RESERVE).min(self.span() / 4)
    }

    fn elapsed_fraction(&self, now: WallTime) -> f64 {
        let span = self.span().as_secs_f64();
        if span == 0.0 { 1.0 } else { now.since(self.start).as_secs_f64() / span }
    }
}
