//! Decision whether a request waits or is rejected.

use dragonflycart_core::{ErrorKind, MonoTime};

/// Figures that the admission of a request depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdmissionView {
    pub(crate) now: MonoTime,
    pub(crate) deadline: Option<MonoTime>,
    pub(crate) servers: usize,
    pub(crate) fits: bool,
    pub(crate) queued: usize,
    pub(crate) team_queued: usize,
    pub(crate) teams: usize,
}

/// What happens to a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmissionOutcome {
    /// It waits.
    Wait,
    /// It waits in the place of the last request of the team with the longest queue.
    Displace,
    /// It is rejected.
    Reject(ErrorKind),
}

/// Decides what waits and what is rejected. A request is rejected at once if waiting can't help
/// it; the queue is shared equally by the teams when it is full.
#[derive(Debug, Clone)]
pub struct AdmissionControl {
    queue_limit: usize,
    draining: bool,
}

impl AdmissionControl {
    /// Builds the control with the longest queue of a pool.
    pub fn new(queue_limit: usize) -> AdmissionControl {
        AdmissionControl { queue_limit, draining: false }
    }

    /// Sets whether the VM takes no new work.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    pub(crate) fn admit(&self, view: &AdmissionView) -> AdmissionOutcome {
        if self.draining {
            return AdmissionOutcome::Reject(ErrorKind::Draining);
        }
        if view.deadline.is_some_and(|deadline| deadline <= view.now) {
            return AdmissionOutcome::Reject(ErrorKind::DeadlineNotStarted);
        }
        if view.servers == 0 {
            return AdmissionOutcome::Reject(ErrorKind::NoBackend);
        }
        if !view.fits {
            return AdmissionOutcome::Reject(ErrorKind::TooLarge);
        }
        if view.queued < self.queue_limit {
            return AdmissionOutcome::Wait;
        }
        if view.team_queued >= self.queue_limit / view.teams.max(1) {
            return AdmissionOutcome::Reject(ErrorKind::TeamLimited);
        }
        AdmissionOutcome::Displace
    }
}
