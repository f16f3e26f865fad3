//! Time plan of a move.

use std::time::Duration;

use dragonflycart_core::{VersionMove, WallTime};

/// Ceiling of the share until [`CLIMB`].
const HALF: f64 = 0.5;

/// Highest share before the move is done. The rest stays with the old version for comparison: at
/// 0.9 a failure of the new version carries twice the evidence that it carries at 0.95.
pub(crate) const FULL: f64 = 0.9;

/// Fractions of the time between which the ceiling rises from half to full share. It rises slowly,
/// so that a version that is bad only under load shows it close to the share that it can bear.
const CLIMB: (f64, f64) = (0.4, 0.62);

/// Fraction of the time at the end of which a proven version may be done.
const DONE_FROM: f64 = 0.75;

/// Steps of the ramp over the time of the move.
const STEPS: f64 = 60.0;

/// Shortest step: evidence of one step must arrive before the next one ends.
const STEP_MIN_S: f64 = 5.0;

/// Longest step.
const STEP_MAX_S: f64 = 60.0;

/// Shortest reserve before the deadline; a rollback spreads over the peers in less.
const RESERVE_MIN: Duration = Duration::from_secs(10);

/// Time plan of a move between its start and its deadline: ceilings of the share, the time at
/// which the highest share must have been watched, and the reserve for a rollback.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MovePace {
    start: WallTime,
    deadline: WallTime,
}

impl MovePace {
    /// Creates the time plan.
    pub fn new(plan: &VersionMove) -> MovePace {
        MovePace { start: plan.start, deadline: plan.deadline.max(plan.start) }
    }

    /// Returns whether the move has started.
    pub fn has_started(&self, now: WallTime) -> bool {
        now >= self.start
    }

    /// Returns whether the deadline has passed.
    pub fn is_over(&self, now: WallTime) -> bool {
        now >= self.deadline
    }

    /// Returns whether a proven version may be done.
    pub fn may_finish(&self, now: WallTime) -> bool {
        self.progress(now) >= DONE_FROM
    }

    /// Returns whether an unproven version must be rolled back, so that the rollback is in effect
    /// everywhere before the deadline.
    pub fn must_decide(&self, now: WallTime) -> bool {
        now.after(self.reserve()) >= self.deadline
    }

    /// Returns the highest share of the new version at this time.
    pub fn ceiling(&self, now: WallTime) -> f64 {
        let climbed = (self.progress(now) - CLIMB.0) / (CLIMB.1 - CLIMB.0);
        HALF + (FULL - HALF) * climbed.clamp(0.0, 1.0)
    }

    /// Returns the length of one step of the ramp, in seconds.
    pub fn step_s(&self) -> f64 {
        (self.span().as_secs_f64() / STEPS).clamp(STEP_MIN_S, STEP_MAX_S)
    }

    /// Returns the time from the start to the deadline.
    pub fn span(&self) -> Duration {
        self.deadline.since(self.start)
    }

    fn reserve(&self) -> Duration {
        (self.span() / 50).max(RESERVE_MIN).min(self.span() / 4)
    }

    fn progress(&self, now: WallTime) -> f64 {
        let span = self.span().as_secs_f64();
        if span == 0.0 { 1.0 } else { now.since(self.start).as_secs_f64() / span }
    }
}
