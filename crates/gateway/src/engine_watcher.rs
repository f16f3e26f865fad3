//! Watches the engine of a running generation and starts a move when it leaves.

use std::sync::Arc;

use tokio::sync::{oneshot, watch};

use crate::{
    CallerRequest, GatewayContext, GenerationMover, GenerationReservation, MoveOutcome, MoveReason,
    StreamProgress,
};

/// Moves that are started for one generation while it stays at the same engine.
const MOVE_LIMIT: u32 = 3;

/// Follows the beliefs about one engine, and the move that they caused.
pub struct EngineWatcher {
    context: Arc<GatewayContext>,
    changes: watch::Receiver<u64>,
    moving: Option<oneshot::Receiver<MoveOutcome>>,
    started: u32,
}

impl EngineWatcher {
    /// Follows the beliefs of `context`.
    pub fn new(context: &Arc<GatewayContext>) -> EngineWatcher {
        let mut changes = context.changes.subscribe();
        changes.mark_changed();
        EngineWatcher { context: Arc::clone(context), changes, moving: None, started: 0 }
    }

    /// Waits until the engine leaves, starts a move then, and waits for its outcome. It is safe to
    /// drop the returned future and to call this again.
    pub async fn next(
        &mut self,
        request: &CallerRequest,
        reservation: &GenerationReservation,
        progress: &Arc<StreamProgress>,
    ) -> MoveOutcome {
        while self.moving.is_none() {
            if self.changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            let is_leaving = self.context.view().is_leaving(reservation.engine.server());
            if is_leaving && self.started < MOVE_LIMIT {
                self.start(request, reservation, progress, MoveReason::Leaving);
            }
        }
        self.outcome().await
    }

    /// Returns what becomes of a generation whose response broke off: the outcome of the move in
    /// progress, or else of a move that starts now.
    pub async fn recover(
        &mut self,
        request: &CallerRequest,
        reservation: &GenerationReservation,
        progress: &Arc<StreamProgress>,
    ) -> MoveOutcome {
        if self.moving.is_some() {
            let outcome = self.outcome().await;
            if !matches!(outcome, MoveOutcome::Stays) {
                return outcome;
            }
        }
        if reservation.backup.is_none() {
            return MoveOutcome::Gone;
        }
        self.start(request, reservation, progress, MoveReason::Broken);
        self.outcome().await
    }

    fn start(
        &mut self,
        request: &CallerRequest,
        reservation: &GenerationReservation,
        progress: &Arc<StreamProgress>,
        reason: MoveReason,
    ) {
        self.started += 1;
        self.moving =
            Some(GenerationMover::start(&self.context, request, reservation, progress, reason));
    }

    async fn outcome(&mut self) -> MoveOutcome {
        let Some(receiver) = &mut self.moving else { return MoveOutcome::Stays };
        let outcome = receiver.await.unwrap_or(MoveOutcome::Stays);
        self.moving = None;
        outcome
    }
}
