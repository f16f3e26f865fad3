//! Moves a running generation to another engine.
//!
//! A generation whose engine is leaving is copied in two passes, as in pre-copy live migration: the
//! first pass copies most of its memory while the generation keeps running, and the final pass copies
//! what was added since, after the generation has stopped. Only the final copy pauses the stream.
//!
//! A generation whose engine's response was lost resumes from its backup copy, after the engine was
//! told to stop it. Backup copies serve for this only: an engine that works stops a generation but for
//! the final copy, so that it retains the memory until the generation goes on.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::{sync::oneshot, time::Instant};
use tracing::info;

use crate::{
    CallerRequest, CopyResponse, GatewayContext, GenerationReservation, Placement, PlacementQuery,
    ResumedGeneration, ServerKey, ServerReservation, StreamPhase, StreamProgress,
    contacts::EngineSilence,
    generation_relay::stall_limit,
    generation_resumer::{self, ResumeResult},
    moves::{
        CopyTiming, MoveSignals, MoveSource, ResumePermit, ResumeSource, SourceStop, StopCalls,
        StoppedSource,
    },
};

/// Timeout of one copy. Engines announce their shutdown about two seconds ahead.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Pause before a copy is requested again if another one is in progress.
const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Pause before a copy is requested again if the generation has not started.
const UNSTARTED_PAUSE: Duration = Duration::from_millis(80);
/// Maximum number of attempts to find a target.
const TARGET_LIMIT: u32 = 8;
/// Pause before the next attempt if no target was found or the target had no free memory.
const TARGET_PAUSE: Duration = Duration::from_millis(30);
/// Maximum time for which a generation whose engine was lost waits until its cold backup engine
/// tolerates another request.
const COLD_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between two looks whether it does.
const COLD_PAUSE: Duration = Duration::from_millis(20);
/// Time from the announcement of an engine's shutdown in which a generation may go back there.
/// Deployments allow two seconds.
const RETURN_TIME: Duration = Duration::from_millis(1_900);
/// Maximum number of copy calls, over all targets.
const CALL_LIMIT: u32 = 40;

/// Why a generation is moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum MoveReason {
    /// The engine is going to shut down but still works.
    Leaving,
    /// The engine's response was cut off or stalled.
    Broken,
}

/// Result of a move.
pub enum MoveOutcome {
    /// The generation resumed on an engine.
    Resumed(Box<ResumedGeneration>),
    /// The generation was not moved and keeps running on its engine.
    Stays,
    /// The generation can't be resumed on any engine.
    Gone,
}

/// Move of one generation.
pub struct GenerationMover {
    context: Arc<GatewayContext>,
    request: CallerRequest,
    progress: Arc<StreamProgress>,
    reason: MoveReason,
    source: MoveSource,
    backup: Option<SocketAddr>,
    backup_key: Option<ServerKey>,
    tried: BTreeSet<ServerKey>,
    calls: u32,
    timing: CopyTiming,
    signals: MoveSignals,
}

impl GenerationMover {
    /// Builds the move of a generation from its reserved engine.
    pub(crate) fn new(
        context: &Arc<GatewayContext>,
        request: &CallerRequest,
        reservation: &GenerationReservation,
        progress: &Arc<StreamProgress>,
        reason: MoveReason,
        signals: MoveSignals,
    ) -> GenerationMover {
        let source = MoveSource::new(context, &reservation.engine);
        GenerationMover {
            context: Arc::clone(context),
            request: request.clone(),
            progress: Arc::clone(progress),
            reason,
            backup: reservation.backup.as_ref().map(ServerReservation::address),
            backup_key: reservation.backup.as_ref().map(ServerReservation::server),
            tried: BTreeSet::from([source.server]),
            calls: 0,
            timing: CopyTiming::new(context, request, progress, &source),
            source,
            signals,
        }
    }

    /// Starts the move. The receiver gets the outcome; if it was dropped by then, a resumed
    /// generation ends.
    pub(crate) fn start(self) -> oneshot::Receiver<MoveOutcome> {
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(self.run(sender));
        receiver
    }

    async fn run(mut self, mut sender: oneshot::Sender<MoveOutcome>) {
        let outcome = self.find_outcome(&mut sender).await;
        let result = match &outcome {
            MoveOutcome::Resumed(_) => "resumed",
            MoveOutcome::Stays => "stays",
            MoveOutcome::Gone => "gone",
        };
        self.context.metrics.count_move(result);
        info!(id = self.request.attempt, source = self.source.id, reason = %self.reason, result,
            calls = self.calls, is_wanted = !sender.is_closed(), "move: ended");
        // If the receiver was dropped, nobody needs the events any more. Dropping a resumed
        // response closes its connection, which ends the generation.
        drop(sender.send(outcome));
    }

    async fn find_outcome(&mut self, sender: &mut oneshot::Sender<MoveOutcome>) -> MoveOutcome {
        match self.reason {
            MoveReason::Broken => self.resume_at_backup(sender).await,
            MoveReason::Leaving if self.context.can_move(&self.request.service) => {
                self.try_targets(sender).await
            }
            MoveReason::Leaving => MoveOutcome::Stays,
        }
    }

    /// Resumes the generation on its backup engine, unless that one is leaving too, after the source
    /// was told to stop it. Without an event, nothing shows that the generation has started and that
    /// a copy of its memory exists. If the backup engine has none, the generation returns to the
    /// source with the memory that this one retains.
    async fn resume_at_backup(&mut self, sender: &mut oneshot::Sender<MoveOutcome>) -> MoveOutcome {
        if self.progress.last_event() == self.request.last_event {
            return MoveOutcome::Stays;
        }
        let (Some(address), Some(key)) = (self.backup, self.backup_key) else {
            return MoveOutcome::Stays;
        };
        self.tried.insert(key);
        let Some(placement) = self.place_at_backup(key).await else {
            return self.return_to_source(None).await;
        };
        let reservation = ServerReservation::new(&self.context, placement);
        let Some(permit) = ResumePermit::take(&self.context, &self.request) else {
            // An earlier recovery may have stopped the generation.
            return self.return_to_source(None).await;
        };
        let signals = self.signals.clone();
        let stopped = tokio::select! {
            biased;
            () = signals.progressed() => None,
            stopped = self.stop_source(address) => stopped,
            () = sender.closed() => return MoveOutcome::Stays,
        };
        let Some(stopped) = stopped else { return self.stay() };
        let retained = self.signals.source_stop.get().and_then(SourceStop::answer);
        if let Some(CopyResponse::Copied { handle }) = retained.and_then(|answer| answer.copy) {
            return self.resume_retained(Some(reservation), &handle, permit, stopped).await;
        }
        let resume_from = self.context.engine_protocol.resume_value(address, &self.request.attempt);
        let source = ResumeSource { resume_from: &resume_from, stopped };
        match self.resume_at(reservation, source, permit).await {
            ResumeResult::Resumed(resumed) => MoveOutcome::Resumed(resumed),
            ResumeResult::Failed => MoveOutcome::Gone,
            ResumeResult::NotRun(unused) => self.return_to_source(unused).await,
        }
    }

    /// Tells the source to stop the generation. Returns `None` if it may go on to work on it.
    async fn stop_source(&self, target: SocketAddr) -> Option<StoppedSource> {
        let contact = self.context.pool.contacts().contact(self.source.address);
        let silence = EngineSilence::new(contact, stall_limit(&self.request.route));
        if !self.context.can_move(&self.request.service) {
            // A closed connection is all that tells the engine, and this one is still open.
            if self.signals.is_response_open.load(Ordering::Acquire) {
                silence.wait_lost().await;
            }
            return Some(StoppedSource::without_call(&self.context));
        }
        let was_asked = self.signals.stop.is_open();
        self.signals.stop.note_asked();
        self.progress.enter(StreamPhase::Stopping);
        let stop = self.signals.source_stop.get_or_init(|| {
            SourceStop::start(StopCalls {
                context: Arc::clone(&self.context),
                attempt: self.request.attempt.clone(),
                source: self.source.clone(),
                is_response_open: Arc::clone(&self.signals.is_response_open),
                target,
                deadline: self.request.deadline,
            })
        });
        let stopped = stop.wait_stopped(&self.context, &silence).await;
        let ended_before = stop
            .answer()
            .is_some_and(|answer| answer.is_first && answer.copy == Some(CopyResponse::Unknown));
        if ended_before && !was_asked {
            self.signals.stop.note_ended_before();
        }
        stopped
    }

    /// Returns a generation to its source, if that one has stopped it and retains its memory.
    /// `unused` is a permit of a resumption that was not sent.
    async fn return_to_source(&mut self, unused: Option<ResumePermit>) -> MoveOutcome {
        let Some(stop) = self.signals.source_stop.get().cloned() else { return MoveOutcome::Stays };
        let Some(handle) = stop.wait_retained().await else { return self.stay() };
        let stopped = StoppedSource::after_retention(&self.context);
        let permit =
            unused.unwrap_or_else(|| ResumePermit::take_for_return(&self.context, &self.request));
        self.resume_retained(None, &handle, permit, stopped).await
    }

    /// Resumes a generation from memory that its source retains after a stop.
    async fn resume_retained(
        &mut self,
        target: Option<ServerReservation>,
        handle: &str,
        permit: ResumePermit,
        stopped: StoppedSource,
    ) -> MoveOutcome {
        let outcome = self.resume(target, handle, permit, stopped).await;
        if matches!(outcome, MoveOutcome::Resumed(_))
            && let Some(stop) = self.signals.source_stop.get()
        {
            stop.note_used();
        }
        outcome
    }

    /// Leaves the generation at its source. A stop that was begun is not repeated for now.
    fn stay(&self) -> MoveOutcome {
        if let Some(stop) = self.signals.source_stop.get() {
            stop.suspend();
        }
        MoveOutcome::Stays
    }

    /// Reserves the backup engine. If it is cold and has got enough requests for now, the generation
    /// waits.
    async fn place_at_backup(&self, key: ServerKey) -> Option<Placement> {
        let query = self.request.query(&self.tried);
        let give_up_at = Instant::now() + COLD_WAIT;
        loop {
            {
                let now = self.context.clock.now();
                let mut view = self.context.view();
                let placement = view.place_at(key, &query, now);
                let may_wait = Instant::now() < give_up_at && view.is_cold_limited(key, now);
                if placement.is_some() || !may_wait {
                    return placement;
                }
            }
            tokio::time::sleep(COLD_PAUSE).await;
        }
    }

    async fn try_targets(&mut self, sender: &mut oneshot::Sender<MoveOutcome>) -> MoveOutcome {
        let signals = self.signals.clone();
        let has_time = tokio::select! {
            () = sender.closed() => false,
            () = signals.engine_lost() => false,
            has_time = self.timing.await_copy_start() => has_time,
        };
        if !has_time {
            return MoveOutcome::Stays;
        }
        for _ in 0..TARGET_LIMIT {
            let Some(mut target) = self.place() else {
                tokio::time::sleep(TARGET_PAUSE).await;
                continue;
            };
            self.tried.insert(target.server());
            let was_cold = self.is_cold(&target);
            if !self.timing.has_time_for(&target).await {
                return MoveOutcome::Stays;
            }
            let copy = tokio::select! {
                copy = self.copy(&target, false, sender) => copy,
                () = signals.engine_lost() => return MoveOutcome::Stays,
            };
            let first_copy = match copy {
                Some(CopyResponse::Copied { handle }) => {
                    target.note_arrived();
                    if sender.is_closed() {
                        self.release(&handle).await;
                        return MoveOutcome::Stays;
                    }
                    handle
                }
                Some(CopyResponse::NoRoom { .. }) => {
                    tokio::time::sleep(TARGET_PAUSE).await;
                    continue;
                }
                Some(CopyResponse::Unknown | CopyResponse::Busy) | None => {
                    return MoveOutcome::Stays;
                }
            };
            let is_open = tokio::select! {
                is_open = self.await_free_link(&target, sender) => is_open,
                () = signals.engine_lost() => {
                    self.release_later(first_copy);
                    return MoveOutcome::Stays;
                }
            };
            if !is_open || (!was_cold && self.is_cold(&target)) {
                info!(
                    id = self.request.attempt,
                    target = target.id(),
                    is_open,
                    "move: target lost"
                );
                self.release(&first_copy).await;
                continue;
            }
            if sender.is_closed() {
                self.release(&first_copy).await;
                return MoveOutcome::Stays;
            }
            let Some(permit) = ResumePermit::take(&self.context, &self.request) else {
                self.release(&first_copy).await;
                return MoveOutcome::Stays;
            };
            let copy = self.copy(&target, true, sender).await;
            let stopped =
                copy.as_ref().and_then(|copy| StoppedSource::after_final_copy(&self.context, copy));
            return match (copy, stopped) {
                (Some(CopyResponse::Copied { handle }), Some(stopped)) => {
                    self.resume(Some(target), &handle, permit, stopped).await
                }
                (Some(CopyResponse::NoRoom { handle: Some(handle) }), Some(stopped)) => {
                    self.resume(None, &handle, permit, stopped).await
                }
                (None, _) if !sender.is_closed() && self.calls < CALL_LIMIT => {
                    self.settle_final_copy(target, permit, sender).await
                }
                _ => MoveOutcome::Stays,
            };
        }
        MoveOutcome::Stays
    }

    /// Finds out what became of a final copy without an answer: an engine that works on may have
    /// stopped the generation, and retains its memory then.
    async fn settle_final_copy(
        &mut self,
        target: ServerReservation,
        permit: ResumePermit,
        sender: &mut oneshot::Sender<MoveOutcome>,
    ) -> MoveOutcome {
        let stopped = tokio::select! {
            stopped = self.stop_source(target.address()) => stopped,
            () = sender.closed() => None,
        };
        let Some(stopped) = stopped else { return self.stay() };
        let Some(stop) = self.signals.source_stop.get().cloned() else { return self.stay() };
        let Some(handle) = stop.wait_retained().await.filter(|_| !sender.is_closed()) else {
            return self.stay();
        };
        self.resume_retained(Some(target), &handle, permit, stopped).await
    }

    /// Waits until the final copy, during which the generation is stopped, will not be delayed by
    /// first copies of other generations. If there is not enough time for all generations, a final
    /// copy within its time slot starts at once, since a late first copy of another generation
    /// could otherwise make it miss the shutdown. In all other cases, it waits until first copies
    /// are over.
    ///
    /// Returns whether the target may still get the generation. It may begin to leave meanwhile.
    async fn await_free_link(
        &mut self,
        target: &ServerReservation,
        sender: &mut oneshot::Sender<MoveOutcome>,
    ) -> bool {
        let mut changes = self.context.changes.subscribe();
        let Some(wait) = self.timing.final_copy_wait().await else {
            return !self.context.view().is_closed(target.server());
        };
        let wait_end = Instant::now() + wait;
        while !self.context.view().is_closed(target.server()) {
            tokio::select! {
                () = sender.closed() => return true,
                () = tokio::time::sleep_until(wait_end) => return true,
                changed = changes.changed() => {
                    if changed.is_err() {
                        return true;
                    }
                }
            }
        }
        false
    }

    fn is_cold(&self, target: &ServerReservation) -> bool {
        let now = self.context.clock.now();
        self.context.view().server(target.server()).is_some_and(|state| state.is_cold(now))
    }

    /// Resumes a stopped generation on the target or, failing that, on the source, which still
    /// holds the memory.
    async fn resume(
        &mut self,
        target: Option<ServerReservation>,
        handle: &str,
        permit: ResumePermit,
        stopped: StoppedSource,
    ) -> MoveOutcome {
        let resume_from = self.context.engine_protocol.resume_value(self.source.address, handle);
        let source = ResumeSource { resume_from: &resume_from, stopped };
        let unused = match target {
            Some(target) => match self.resume_at(target, source, permit).await {
                ResumeResult::Resumed(resumed) => return MoveOutcome::Resumed(resumed),
                ResumeResult::NotRun(unused) => unused,
                ResumeResult::Failed => return MoveOutcome::Gone,
            },
            None => Some(permit),
        };
        let Some(reservation) = self.reserve_return() else { return MoveOutcome::Gone };
        let permit = unused
            .unwrap_or_else(|| ResumePermit::take_for_return(&self.context, &self.request))
            .for_return();
        match self.resume_at(reservation, source, permit).await {
            ResumeResult::Resumed(resumed) => MoveOutcome::Resumed(resumed),
            ResumeResult::NotRun(_) | ResumeResult::Failed => MoveOutcome::Gone,
        }
    }

    async fn resume_at(
        &self,
        reservation: ServerReservation,
        source: ResumeSource<'_>,
        permit: ResumePermit,
    ) -> ResumeResult {
        let (context, request) = (&self.context, &self.request);
        generation_resumer::resume(context, request, reservation, source, &self.progress, permit)
            .await
    }

    /// Reserves the source, if a generation may still return there.
    fn reserve_return(&self) -> Option<ServerReservation> {
        let excluded = BTreeSet::new();
        let now = self.context.clock.now();
        let query = self.request.query(&excluded);
        let placement = {
            let mut view = self.context.view();
            let leaving_for = view.leaving_for(self.source.server, now);
            if leaving_for.is_some_and(|time| time >= RETURN_TIME) {
                return None;
            }
            view.reserve_leaving(self.source.server, &query, now)
        };
        placement.map(|placement| ServerReservation::new(&self.context, placement))
    }

    fn place(&self) -> Option<ServerReservation> {
        let now = self.context.clock.now();
        let query = PlacementQuery {
            preferred_zone: Some(&self.source.zone),
            moved_tokens: self.timing.memory_tokens(),
            spread_seed: Some(rand::random()),
            ..self.request.query(&self.tried)
        };
        let placement = self.context.view().place(&query, now).ok()?;
        Some(ServerReservation::new(&self.context, placement))
    }

    /// Copies the memory to a target. Retries while the engine is busy or has not started the
    /// generation.
    async fn copy(
        &mut self,
        target: &ServerReservation,
        is_final: bool,
        sender: &mut oneshot::Sender<MoveOutcome>,
    ) -> Option<CopyResponse> {
        loop {
            if sender.is_closed() || self.calls >= CALL_LIMIT {
                return None;
            }
            self.calls += 1;
            let call = self.context.engine_protocol.copy_call(
                &self.request.attempt,
                target.address(),
                is_final,
            );
            if is_final {
                self.signals.stop.note_asked();
                self.progress.enter(StreamPhase::Stopping);
            }
            let asked_at = Instant::now();
            let response = self.context.pool.call(&call, self.source.address, COPY_TIMEOUT).await;
            let took_ms = asked_at.elapsed().as_millis() as u64;
            let copy = match &response {
                Ok((head, body)) => {
                    self.context.engine_protocol.decode_copy(head.status.as_u16(), body)
                }
                Err(_) => None,
            };
            info!(
                id = self.request.attempt,
                target = target.id(),
                is_final,
                took_ms,
                ?copy,
                error = response.err().map(<&str>::from),
                "move: copied"
            );
            if is_final && copy == Some(CopyResponse::Unknown) {
                self.signals.stop.note_ended_before();
            }
            let pause = match copy {
                Some(CopyResponse::Busy) => BUSY_PAUSE,
                Some(CopyResponse::Unknown) if !is_final => UNSTARTED_PAUSE,
                other => return other,
            };
            tokio::time::sleep(pause).await;
            if !is_final && !self.timing.has_time_for(target).await {
                return None;
            }
        }
    }

    async fn release(&self, handle: &str) {
        self.source.release(&self.context, &self.request.attempt, handle).await;
    }

    /// Frees a copy without waiting for the engine, which may not answer.
    fn release_later(&self, handle: String) {
        let (context, source) = (Arc::clone(&self.context), self.source.clone());
        let attempt = self.request.attempt.clone();
        tokio::spawn(async move { source.release(&context, &attempt, &handle).await });
    }
}
