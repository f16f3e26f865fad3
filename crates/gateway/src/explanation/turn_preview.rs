//! Place that a request would get in the wait queue.

use std::time::Duration;

use dragonflycart_admission::{GiveWay, WaitEstimate, Waiter};
use dragonflycart_core::MonoTime;
use tokio::time::Instant;

use crate::{CallerRequest, GatewayContext, admission::engine_tokens};

/// Maximum number of waiting requests with which the queue is copied. Copying more would take
/// longer than a placement, with the lock of the queue held.
const COPIED_WAITERS: usize = 256;

/// Place that a request would get in the wait queue for engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TurnPreview {
    /// Number of requests that wait for the service at this VM.
    pub(super) waiting: usize,
    /// Whether the request would look for room at once, or `None` if too many wait to tell.
    pub(super) has_turn: Option<bool>,
    /// Whether it would leave the room that it finds to more urgent requests of other VMs.
    pub(super) gives_way: bool,
    /// Estimate of its wait, for a service with a deferrable route.
    pub(super) estimate: Option<WaitEstimate>,
}

impl TurnPreview {
    /// Returns the place that a request would get. It is added to a copy of the queue, so that the
    /// queue itself does not change.
    pub(super) fn new(
        context: &GatewayContext,
        request: &CallerRequest,
        (maximum, room): (Duration, u64),
        now: MonoTime,
    ) -> TurnPreview {
        let own = engine_tokens(context, request);
        let table = context.admission.table();
        let waiting = table.queue.count(&request.service);
        if table.queue.total() > COPIED_WAITERS {
            return TurnPreview { waiting, has_turn: None, gives_way: false, estimate: None };
        }
        let mut copy = table.clone();
        drop(table);
        let target = request.route.latency_target;
        let arrived = context.clock.at(request.arrived);
        let waiter = Waiter {
            service: request.service.clone(),
            class: request.admission,
            rank: request.rank(),
            team: request.team.clone().unwrap_or_default(),
            tokens: own,
            late_at: arrived + target,
            aged_at: arrived + maximum / 2,
        };
        let id = copy.enqueue(waiter, now);
        let has_turn = Some(copy.has_turn(id, now));
        if !request.admission.is_managed() {
            return TurnPreview { waiting, has_turn, gives_way: false, estimate: None };
        }
        let share = copy.urgent_share(id, &request.service, now);
        let gives_way = share > 0
            && GiveWay::default().gives_way(request.demand.reserved_tokens(), share, room, now);
        let late_in = (request.arrived + target).saturating_duration_since(Instant::now());
        let inputs = copy.estimate_inputs(id, (&request.service, own), late_in, room, now);
        let estimate = Some(WaitEstimate::from_inputs(inputs));
        TurnPreview { waiting, has_turn, gives_way, estimate }
    }
}
