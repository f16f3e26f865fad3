//! Watches the engine of a running generation and moves the generation when the engine leaves.

use std::sync::{
    Arc, OnceLock,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::watch;

use crate::{
    CallerRequest, GatewayContext, GenerationMover, GenerationReservation, MoveOutcome, MoveReason,
    StreamProgress,
    moves::{MoveSignals, RunningMove, SourceStop, StopRequest},
};

/// Maximum number of moves started for one generation while it stays on the same engine.
const MOVE_LIMIT: u32 = 3;

/// Watcher of one engine, with the move in progress if there is one.
pub struct EngineWatcher {
    context: Arc<GatewayContext>,
    changes: watch::Receiver<u64>,
    moving: Option<RunningMove>,
    started: u32,
    stop: StopRequest,
    source_stop: Arc<OnceLock<SourceStop>>,
    /// Whether the engine has not ended its response.
    is_response_open: Arc<AtomicBool>,
    /// Whether the engine's response was lost, so that the generation is to be recovered once a move
    /// that is in progress has ended.
    is_lost: watch::Sender<bool>,
    /// Whether the stream got an event since its recovery began.
    has_progress: watch::Sender<bool>,
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
            is_response_open: Arc::new(AtomicBool::new(true)),
            is_lost: watch::Sender::new(false),
            has_progress: watch::Sender::new(false),
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

    /// Waits until the engine is leaving or a recovery was begun, makes the move and waits for its
    /// outcome. This method is cancel safe: the returned future can be dropped and the method called
    /// again.
    pub async fn next(
        &mut self,
        request: &CallerRequest,
        reservation: &GenerationReservation,
        progress: &Arc<StreamProgress>,
    ) -> MoveOutcome {
        loop {
            while self.moving.is_none() && !self.is_lost() {
                if self.changes.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
                let is_leaving = self.context.view().is_leaving(reservation.engine.server());
                if is_leaving && self.started < MOVE_LIMIT {
                    self.start(request, reservation, progress, MoveReason::Leaving);
                }
            }
            if self.moving.is_none() {
                if reservation.backup.is_none() {
                    self.end_recovery();
                    return MoveOutcome::Gone;
                }
                self.start(request, reservation, progress, MoveReason::Broken);
            }
            let was_recovery = self.moving.as_ref().is_some_and(RunningMove::is_recovery);
            let outcome = self.outcome().await;
            let was_ended = !was_recovery && matches!(outcome, MoveOutcome::Stays);
            if self.is_lost() && was_ended {
                continue;
            }
            self.end_recovery();
            return outcome;
        }
    }

    /// Begins to recover a generation whose response stalled or was cut off. The outcome is that of
    /// the move in progress if it is final, otherwise that of a new move to the backup engine, and
    /// [`EngineWatcher::next`] returns it. A move that has not asked the engine to stop the
    /// generation yet ends at once.
    pub(crate) fn begin_recovery(&self) {
        self.has_progress.send_replace(false);
        self.is_lost.send_replace(true);
    }

    /// Ends the recovery of a stream that got an event from its engine, unless it goes on elsewhere.
    pub(crate) fn note_progress(&self) {
        self.has_progress.send_replace(true);
    }

    /// Records that the engine's response has ended or was cut off.
    pub fn note_response_ended(&self) {
        self.is_response_open.store(false, Ordering::Release);
    }

    /// Makes no further calls to stop a generation that is complete.
    pub(crate) fn note_complete(&self) {
        if let Some(stop) = self.source_stop.get() {
            stop.suspend();
        }
    }

    fn is_lost(&self) -> bool {
        *self.is_lost.borrow()
    }

    fn end_recovery(&self) {
        self.is_lost.send_replace(false);
    }

    /// Returns what became of a generation whose response ended in a way that may mean that it is
    /// complete, or that the engine was asked to stop it. Returns `None` if it was not stopped.
    pub async fn stopped_outcome(&mut self) -> Option<MoveOutcome> {
        if !self.stop.is_open() {
            return None;
        }
        let outcome = self.outcome().await;
        self.end_recovery();
        // The engine may have answered that the generation had ended before it was asked.
        self.stop.is_open().then_some(outcome)
    }

    /// Begins to recover a generation whose response was cut off, and returns the outcome as
    /// [`EngineWatcher::next`] does.
    pub async fn recover(
        &mut self,
        request: &CallerRequest,
        reservation: &GenerationReservation,
        progress: &Arc<StreamProgress>,
    ) -> MoveOutcome {
        self.begin_recovery();
        self.next(request, reservation, progress).await
    }

    fn start(
        &mut self,
        request: &CallerRequest,
        reservation: &GenerationReservation,
        progress: &Arc<StreamProgress>,
        reason: MoveReason,
    ) {
        self.started += 1;
        let signals = MoveSignals::new(
            &self.stop,
            &self.source_stop,
            &self.is_response_open,
            self.is_lost.subscribe(),
            self.has_progress.subscribe(),
        );
        let mover =
            GenerationMover::new(&self.context, request, reservation, progress, reason, signals);
        self.moving = Some(RunningMove::new(reason, mover.start()));
    }

    async fn outcome(&mut self) -> MoveOutcome {
        let Some(moving) = &mut self.moving else { return MoveOutcome::Stays };
        let outcome = moving.outcome().await;
        self.moving = None;
        outcome
    }
}
