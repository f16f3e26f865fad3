//! Watches the engine of a running generation and moves the generation when the engine leaves.

use std::sync::{Arc, OnceLock};

use tokio::sync::{oneshot, watch};

use crate::{
    CallerRequest, GatewayContext, GenerationMover, GenerationReservation, MoveOutcome, MoveReason,
    StreamProgress,
    moves::{MoveSignals, SourceStop, StopRequest},
};

/// Maximum number of moves started for one generation while it stays on the same engine.
const MOVE_LIMIT: u32 = 3;

/// Watcher of one engine, with the move in progress if there is one.
pub struct EngineWatcher {
    context: Arc<GatewayContext>,
    changes: watch::Receiver<u64>,
    moving: Option<oneshot::Receiver<MoveOutcome>>,
    started: u32,
    stop: StopRequest,
    source_stop: Arc<OnceLock<SourceStop>>,
    /// Whether the engine's response was lost.
    is_lost: watch::Sender<bool>,
}

impl EngineWatcher {
    /// Watches for changes in `context`.
    pub fn new(context: &Arc<GatewayContext>) -> EngineWatcher {
        let mut changes = context.changes.subscribe();
        changes.mark_changed();
        EngineWatcher {
            context: Arc::clone(context),
            changes,
            moving: None,
            started: 0,
            stop: StopRequest::default(),
            source_stop: Arc::default(),
            is_lost: watch::Sender::new(false),
        }
    }

    /// Returns whether the generation is being moved.
    pub fn is_moving(&self) -> bool {
        self.moving.is_some()
    }

    /// Returns whether the engine was asked to stop the generation and may have done so.
    pub(crate) fn is_stop_asked(&self) -> bool {
        self.stop.is_open()
    }

    /// Waits until the engine is leaving, starts a move and waits for its outcome. This method is
    /// cancel safe: the returned future can be dropped and the method called again.
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

    /// Returns what became of a generation whose response ended in a way that may mean that it is
    /// complete, or that the engine was asked to stop it. Returns `None` if it was not stopped.
    pub async fn stopped_outcome(&mut self) -> Option<MoveOutcome> {
        if !self.stop.is_open() {
            return None;
        }
        let outcome = self.outcome().await;
        // The engine may have answered that the generation had ended before it was asked.
        self.stop.is_open().then_some(outcome)
    }

    /// Tries to recover a generation whose response was cut off or stalled. Returns the outcome of
    /// the move in progress if it is final, otherwise that of a new move to the backup engine. A move
    /// that has not asked the engine to stop the generation yet ends at once.
    pub async fn recover(
        &mut self,
        request: &CallerRequest,
        reservation: &GenerationReservation,
        progress: &Arc<StreamProgress>,
    ) -> MoveOutcome {
        if self.moving.is_some() {
            self.is_lost.send_replace(true);
            let outcome = self.outcome().await;
            self.is_lost.send_replace(false);
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
        let signals = MoveSignals::new(&self.stop, &self.source_stop, self.is_lost.subscribe());
        let mover =
            GenerationMover::new(&self.context, request, reservation, progress, reason, signals);
        self.moving = Some(mover.start());
    }

    async fn outcome(&mut self) -> MoveOutcome {
        let Some(receiver) = &mut self.moving else { return MoveOutcome::Stays };
        let outcome = receiver.await.unwrap_or(MoveOutcome::Stays);
        self.moving = None;
        outcome
    }
}
