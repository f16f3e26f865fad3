//! Watches the server of a running generation and starts a move when it leaves.

use std::sync::Arc;

use tokio::sync::{oneshot, watch};

use crate::{CallerRequest, GatewayContext, GenerationMover, MoveOutcome, WorkTicket};

/// Moves that are started for one generation while it stays at the same server.
const MOVE_LIMIT: u32 = 3;

/// Follows the beliefs about one server, and the move that they caused.
pub struct MoveFollower {
    changes: watch::Receiver<u64>,
    moving: Option<oneshot::Receiver<MoveOutcome>>,
    started: u32,
}

impl MoveFollower {
    /// Follows the beliefs of `context`.
    pub fn new(context: &GatewayContext) -> MoveFollower {
        let mut changes = context.changes.subscribe();
        changes.mark_changed();
        MoveFollower { changes, moving: None, started: 0 }
    }

    /// Returns whether a move is in progress.
    pub fn is_moving(&self) -> bool {
        self.moving.is_some()
    }

    /// Waits until the server leaves, starts a move then, and waits for its outcome. It is safe to
    /// drop the returned future and to call this again.
    pub async fn next(
        &mut self,
        context: &Arc<GatewayContext>,
        request: &CallerRequest,
        ticket: &WorkTicket,
    ) -> MoveOutcome {
        while self.moving.is_none() {
            if self.changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            if self.started < MOVE_LIMIT
                && context.can_move(&request.service)
                && context.view().is_leaving(ticket.server())
            {
                self.started += 1;
                self.moving = Some(GenerationMover::start(context, request, ticket));
            }
        }
        self.outcome().await
    }

    /// Waits for the outcome of the move in progress.
    pub async fn outcome(&mut self) -> MoveOutcome {
        let Some(receiver) = &mut self.moving else { return MoveOutcome::Stays };
        let outcome = receiver.await.unwrap_or(MoveOutcome::Stays);
        self.moving = None;
        outcome
    }
}
