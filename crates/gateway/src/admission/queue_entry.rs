//! Entry of a request in the wait queue.

use std::{sync::Arc, time::Duration};

use dragonflycart_admission::{Waiter, WaiterId};
use tokio::sync::Notify;

use super::engine_tokens;
use crate::{CallerRequest, GatewayContext};

/// Entry in the wait queue. It is removed on drop, also when the request's task is cancelled because
/// the caller disconnected.
pub(crate) struct QueueEntry<'a> {
    context: &'a GatewayContext,
    id: WaiterId,
    rank: u8,
    tokens: u64,
    waker: Arc<Notify>,
}

impl<'a> QueueEntry<'a> {
    /// Adds a request to the queue that may wait for `maximum` from its arrival on.
    pub(crate) fn new(
        context: &'a GatewayContext,
        request: &CallerRequest,
        maximum: Duration,
    ) -> QueueEntry<'a> {
        let arrived = context.clock.at(request.arrived);
        let tokens = engine_tokens(context, request);
        let waiter = Waiter {
            service: request.service.clone(),
            class: request.admission,
            rank: request.rank(),
            team: request.team.clone().unwrap_or_default(),
            tokens,
            late_at: arrived + request.route.latency_target,
            aged_at: arrived + maximum / 2,
        };
        let (id, waker) = context.admission.enqueue(waiter, context.clock.now());
        context.metrics.change_waiting(request.rank(), 1);
        QueueEntry { context, id, rank: request.rank(), tokens, waker }
    }

    /// Returns the ID of the request in the queue.
    pub(crate) fn id(&self) -> WaiterId {
        self.id
    }

    /// Returns the engine memory that the request counts for, in tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns whether it is the request's turn to look for room.
    pub(crate) fn has_turn(&self) -> bool {
        self.context.admission.table().has_turn(self.id, self.context.clock.now())
    }

    /// Records that the request had its turn and found no room.
    pub(crate) fn note_no_room(&self) {
        self.context.admission.table().queue.note_no_room(self.id);
    }

    /// Waits until room may have become free.
    pub(crate) async fn woken(&self) {
        self.waker.notified().await;
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.context.metrics.change_waiting(self.rank, -1);
        self.context.admission.remove(self.id, self.context.clock.now());
    }
}
