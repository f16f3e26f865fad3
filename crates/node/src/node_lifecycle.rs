//! Lifecycle of the daemon.
//!
//! A planned stop has two steps. First the VM reports not ready but still accepts work, which keeps
//! arriving until the load balancer has noticed. Then it rejects new work and exits after the last
//! stream has ended.

use statig::prelude::*;

/// Event that may change the phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LifecycleEvent {
    /// A plan is in effect and the backend servers were polled for their load.
    Prepared,
    /// The process was asked to stop.
    StopRequested,
    /// The load balancer has had enough time to notice that the VM is not ready.
    BalancerNoticed,
    /// No stream and no call is open.
    Idle,
    /// The time limit for stopping has passed.
    StopLimitReached,
}

/// Phase as seen by the rest of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum LifecyclePhase {
    /// No plan is in effect yet, or the load of the backend servers is not known.
    Starting,
    /// The VM serves requests.
    Ready,
    /// The VM reports not ready and still accepts work.
    Leaving,
    /// The VM accepts no new work.
    Draining,
    /// The process may exit.
    Stopped,
}

impl LifecyclePhase {
    /// Returns whether the load balancer should send work here.
    pub(crate) fn is_ready(self) -> bool {
        self == LifecyclePhase::Ready
    }

    /// Returns whether new work is accepted.
    pub(crate) fn accepts_work(self) -> bool {
        matches!(self, LifecyclePhase::Ready | LifecyclePhase::Leaving)
    }

    /// Returns whether new work will not be accepted any more.
    pub(crate) fn is_stopping(self) -> bool {
        matches!(self, LifecyclePhase::Draining | LifecyclePhase::Stopped)
    }
}

/// State machine behind [`LifecyclePhase`].
#[derive(Default)]
pub(crate) struct NodeLifecycle;

#[state_machine(initial = "State::starting()", state(derive(Debug, Clone, PartialEq)))]
impl NodeLifecycle {
    #[state]
    fn starting(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Prepared => Transition(State::ready()),
            LifecycleEvent::StopRequested => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn ready(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::StopRequested => Transition(State::leaving()),
            _ => Handled,
        }
    }

    #[state]
    fn leaving(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::BalancerNoticed => Transition(State::draining()),
            LifecycleEvent::StopLimitReached => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn draining(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Idle | LifecycleEvent::StopLimitReached => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn stopped(event: &LifecycleEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }
}

impl From<&State> for LifecyclePhase {
    fn from(state: &State) -> LifecyclePhase {
        match state {
            State::Starting { .. } => LifecyclePhase::Starting,
            State::Ready { .. } => LifecyclePhase::Ready,
            State::Leaving { .. } => LifecyclePhase::Leaving,
            State::Draining { .. } => LifecyclePhase::Draining,
            State::Stopped { .. } => LifecyclePhase::Stopped,
        }
    }
}
