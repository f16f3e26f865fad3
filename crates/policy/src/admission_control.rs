//! Admission control: decides whether a new request is queued or rejected.

use dragonflycart_core::{ErrorKind, MonoTime};

/// Inputs of the decision about one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AdmissionInputs {
    pub(crate) now: MonoTime,
    pub(crate) deadline: Option<MonoTime>,
    /// Number of servers in the pool.
    pub(crate) servers: usize,
    /// Whether the request fits into the memory of at least one server.
    pub(crate) fits: bool,
    /// Requests in the queue of the pool.
    pub(crate) queued: usize,
    /// Requests of the team in that queue. Counted only if the queue is full.
    pub(crate) team_queued: usize,
    /// Number of teams with requests in that queue. Counted only if the queue is full.
    pub(crate) teams: usize,
}

/// Outcome for a new request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmissionOutcome {
    /// The request is queued.
    Wait,
    /// The request is queued, and the last request of the team with the longest queue is rejected.
    Displace,
    /// The request is rejected.
    Reject(ErrorKind),
}

/// Admission control. A request that can't succeed by waiting is rejected at once. When the queue
/// is full, each team is entitled to an equal part of it.
#[derive(Debug, Clone)]
pub struct AdmissionControl {
    queue_limit: usize,
    draining: bool,
}

impl AdmissionControl {
    /// Creates the admission control with the maximum queue length of a pool.
    pub fn new(queue_limit: usize) -> AdmissionControl {
        AdmissionControl { queue_limit, draining: false }
    }

    /// Sets whether all new requests are rejected because the VM is draining.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Decides about one request.
    pub(crate) fn admit(&self, inputs: &AdmissionInputs) -> AdmissionOutcome {
        if self.draining {
            return AdmissionOutcome::Reject(ErrorKind::Draining);
        }
        if inputs.deadline.is_some_and(|deadline| deadline <= inputs.now) {
            return AdmissionOutcome::Reject(ErrorKind::DeadlineNotStarted);
        }
        if inputs.servers == 0 {
            return AdmissionOutcome::Reject(ErrorKind::NoBackend);
        }
        if !inputs.fits {
            return AdmissionOutcome::Reject(ErrorKind::TooLarge);
        }
        if inputs.queued < self.queue_limit {
            return AdmissionOutcome::Wait;
        }
        if inputs.team_queued >= self.queue_limit / inputs.teams.max(1) {
            return AdmissionOutcome::Reject(ErrorKind::TeamLimited);
        }
        AdmissionOutcome::Displace
    }
}
