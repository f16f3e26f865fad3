//! Moves a running generation to another engine.
//!
//! A generation whose engine is leaving is copied in two passes, as in pre-copy live migration: the
//! first pass copies most of its memory while the generation keeps running, and the final pass copies
//! what was added since, after the generation has stopped. Only the final copy pauses the stream.
//!
//! A generation whose engine's response was lost resumes from its backup copy, after the engine was
//! told to stop it. Backup copies serve for this only: an engine that works stops a generation but for
//! the final copy, so that it retains the memory until the generation goes on.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{sync::oneshot, time::Instant};
use tracing::info;

use crate::{
    CallerRequest, CopyResponse, CopyStart, EngineReport, GatewayContext, GenerationReservation,
    MoveSchedule, Placement, PlacementQuery, ResumeResult, ResumedGeneration, ServerKey,
    ServerReservation, StreamProgress, generation_resumer,
    move_schedule::COPY_SLOT_OVERHEAD,
    moves::{self, MoveSignals, ResumePermit, ResumeSource, SourceStop, StoppedSource},
};

/// Timeout of one copy. Engines announce their shutdown about two seconds ahead.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Pause before a copy is requested again if another one is in progress.
const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Pause before a copy is requested again if the generation has not started.
const UNSTARTED_PAUSE: Duration = Duration::from_millis(80);
/// Time over which VMs spread the start of their moves from an engine whose report is not
/// available.
const START_SPREAD: Duration = Duration::from_millis(160);
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
/// Assumed age of an engine's report.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time before an engine's shutdown that is reserved for the final copies of all its generations.
const LAST_COPIES_TIME: Duration = Duration::from_millis(300);
/// Shortest time between the announcement and the shutdown of an engine.
const SHORTEST_NOTICE: Duration = Duration::from_millis(1_500);
/// Pause before an engine is asked again when it shuts down.
const ASK_PAUSE: Duration = Duration::from_millis(120);
/// Timeout of a request for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

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

/// Time at which the engine shuts down.
#[derive(Debug, Clone, Copy)]
struct LeaveTime {
    at: Instant,
    /// Whether the engine reported the time; otherwise it is estimated from the shortest notice.
    is_known: bool,
}

/// Move of one generation.
pub struct GenerationMover {
    context: Arc<GatewayContext>,
    request: CallerRequest,
    progress: Arc<StreamProgress>,
    reason: MoveReason,
    source: SocketAddr,
    source_id: String,
    source_key: ServerKey,
    source_zone: String,
    backup: Option<SocketAddr>,
    backup_key: Option<ServerKey>,
    tried: BTreeSet<ServerKey>,
    calls: u32,
    leave: LeaveTime,
    /// End of the time slot of this generation's copy, if there is not enough time to copy all
    /// generations.
    copy_slot_end: Option<Instant>,
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
        let server = reservation.engine.server();
        let zone = context.view().server(server).map(|state| state.record.zone.clone());
        let now = context.clock.now();
        let elapsed = context.view().leaving_for(server, now).unwrap_or_default();
        let left = SHORTEST_NOTICE.saturating_sub(elapsed);
        let leave = LeaveTime { at: Instant::now() + left, is_known: false };
        GenerationMover {
            context: Arc::clone(context),
            request: request.clone(),
            progress: Arc::clone(progress),
            reason,
            source: reservation.engine.address(),
            source_id: reservation.engine.id().to_owned(),
            source_key: server,
            source_zone: zone.unwrap_or_default(),
            backup: reservation.backup.as_ref().map(ServerReservation::address),
            backup_key: reservation.backup.as_ref().map(ServerReservation::server),
            tried: BTreeSet::from([server]),
            calls: 0,
            leave,
            copy_slot_end: None,
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
        info!(id = self.request.attempt, source = self.source_id, reason = %self.reason, result,
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
    /// a copy of its memory exists.
    async fn resume_at_backup(&mut self, sender: &mut oneshot::Sender<MoveOutcome>) -> MoveOutcome {
        if self.progress.last_event() == self.request.last_event {
            return MoveOutcome::Stays;
        }
        let (Some(address), Some(key)) = (self.backup, self.backup_key) else {
            return MoveOutcome::Stays;
        };
        self.tried.insert(key);
        let Some(placement) = self.place_at_backup(key).await else {
            return MoveOutcome::Stays;
        };
        let reservation = ServerReservation::new(&self.context, placement);
        let Some(permit) = ResumePermit::take(&self.context, &self.request) else {
            return MoveOutcome::Stays;
        };
        let stop = tokio::select! {
            stop = self.stop_source(address) => stop,
            () = sender.closed() => None,
        };
        let Some((stopped, copy)) = stop else { return MoveOutcome::Stays };
        if let Some(CopyResponse::Copied { handle }) = &copy {
            return self.resume(Some(reservation), handle, Some(permit), stopped).await;
        }
        let resume_from = self.context.engine_protocol.resume_value(address, &self.request.attempt);
        let source = ResumeSource { resume_from: &resume_from, stopped };
        let result = generation_resumer::resume(
            &self.context,
            &self.request,
            reservation,
            source,
            &self.progress,
            permit,
        )
        .await;
        match (result, copy) {
            (ResumeResult::Resumed(resumed), _) => MoveOutcome::Resumed(resumed),
            (ResumeResult::Failed, _) => MoveOutcome::Gone,
            // The backup engine has no copy, but the source retains the memory.
            (ResumeResult::NotRun, Some(CopyResponse::NoRoom { handle: Some(handle) })) => {
                self.resume(None, &handle, None, stopped).await
            }
            (ResumeResult::NotRun, _) => MoveOutcome::Stays,
        }
    }

    /// Tells the source to stop the generation. Returns `None` if it may go on to work on it.
    async fn stop_source(
        &self,
        target: SocketAddr,
    ) -> Option<(StoppedSource, Option<CopyResponse>)> {
        if !self.context.can_move(&self.request.service) {
            return Some((StoppedSource::without_call(&self.context), None));
        }
        self.signals.stop.note_asked();
        let stop = SourceStop {
            context: Arc::clone(&self.context),
            attempt: self.request.attempt.clone(),
            source: self.source,
            source_id: self.source_id.clone(),
            target,
            deadline: self.request.deadline,
        };
        let stopped = stop.start().wait().await;
        if matches!(stopped, Some((_, Some(CopyResponse::Unknown)))) {
            self.signals.stop.note_ended_before();
        }
        stopped
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
            has_time = self.await_copy_start() => has_time,
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
            if !self.has_time_for(&target).await {
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
                    self.resume(Some(target), &handle, Some(permit), stopped).await
                }
                (Some(CopyResponse::NoRoom { handle: Some(handle) }), Some(stopped)) => {
                    self.resume(None, &handle, Some(permit), stopped).await
                }
                _ => MoveOutcome::Stays,
            };
        }
        MoveOutcome::Stays
    }

    /// Waits until the first copy should start. Returns whether there is time for it.
    async fn await_copy_start(&mut self) -> bool {
        loop {
            match self.find_copy_start().await {
                CopyStart::After(delay) => {
                    tokio::time::sleep(delay).await;
                    return true;
                }
                CopyStart::NoTime if self.leave.is_known || self.first_copies_time().is_zero() => {
                    return false;
                }
                CopyStart::NoTime => tokio::time::sleep(ASK_PAUSE).await,
            }
        }
    }

    /// Determines when the first copy should start.
    async fn find_copy_start(&mut self) -> CopyStart {
        let engine = self.context.view().engine_spec(&self.request.service);
        let (Some(report), Some(engine)) = (self.ask_report().await, engine) else {
            // A random delay lets each VM see the choices of those that started earlier.
            return CopyStart::After(START_SPREAD.mul_f64(rand::random()));
        };
        let now = self.context.clock.now();
        let (elapsed, near) = {
            let view = self.context.view();
            let near = view.fraction_fitting_in_zone(&self.request.service, &self.source_zone, now);
            (view.leaving_for(self.source_key, now).unwrap_or_default(), near)
        };
        let schedule = MoveSchedule {
            generations: &report.generations,
            // Copies to other zones take twice as long.
            token_time: engine.token_copy_time.mul_f64(2.0 - near),
            time: elapsed + self.first_copies_time(),
        };
        let start = match schedule.copy_start(&self.request.attempt) {
            CopyStart::After(delay) => CopyStart::After(delay.saturating_sub(elapsed)),
            start => start,
        };
        self.copy_slot_end = None;
        if let CopyStart::After(delay) = start
            && schedule.is_tight()
        {
            let copy_time = schedule.copy_time(self.memory_tokens());
            self.copy_slot_end = Some(Instant::now() + delay + copy_time + COPY_SLOT_OVERHEAD);
        }
        info!(
            id = self.request.attempt,
            source = self.source_id,
            left_ms = (self.leave.at - Instant::now()).as_millis() as u64,
            is_known = self.leave.is_known,
            runs = report.generations.len(),
            tokens = report.generations.iter().map(|run| run.tokens).sum::<u64>(),
            near,
            turn = ?start,
            "move: planned"
        );
        start
    }

    /// Returns the time left for first copies. A first copy that ends later would delay the final
    /// copies of other generations past the engine's shutdown.
    fn first_copies_time(&self) -> Duration {
        (self.leave.at - Instant::now()).saturating_sub(LAST_COPIES_TIME)
    }

    /// Returns whether the memory can be copied to a target in time.
    async fn has_time_for(&mut self, target: &ServerReservation) -> bool {
        let engine = self.context.view().engine_spec(&self.request.service);
        let token_time = engine.map_or(Duration::ZERO, |engine| engine.token_copy_time);
        let time = token_time.mul_f64(target.arriving_tokens() as f64);
        if time > self.first_copies_time() && !self.leave.is_known {
            self.ask_report().await;
        }
        let left = self.first_copies_time();
        let has_time = time <= left;
        if !has_time {
            info!(
                id = self.request.attempt,
                source = self.source_id,
                target = target.id(),
                time_ms = time.as_millis() as u64,
                left_ms = left.as_millis() as u64,
                "move: no time for the copy"
            );
        }
        has_time
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
        if self.copy_slot_end.is_some_and(|end| Instant::now() <= end) {
            return !self.context.view().is_closed(target.server());
        }
        if !self.leave.is_known {
            self.ask_report().await;
        }
        let wait = self.first_copies_time();
        info!(
            id = self.request.attempt,
            wait_ms = wait.as_millis() as u64,
            "move: waits for the last copy"
        );
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

    /// Requests the engine's report, and updates the time of its shutdown if the report states it.
    async fn ask_report(&mut self) -> Option<EngineReport> {
        let call = self.context.engine_protocol.report_call();
        let response = call.send(self.source, REPORT_TIMEOUT).await;
        let report = match response {
            Ok((200, body)) => self.context.engine_protocol.decode_report(&body)?,
            Ok(_) | Err(_) => return None,
        };
        if let Some(left) = report.leaves_in {
            let at = Instant::now() + left.saturating_sub(REPORT_LAG);
            self.leave = LeaveTime { at, is_known: true };
        }
        Some(report)
    }

    /// Resumes a stopped generation on the target or, failing that, on the source, which still
    /// holds the memory.
    async fn resume(
        &mut self,
        target: Option<ServerReservation>,
        handle: &str,
        mut unused: Option<ResumePermit>,
        stopped: StoppedSource,
    ) -> MoveOutcome {
        let resume_from = self.context.engine_protocol.resume_value(self.source, handle);
        let excluded = BTreeSet::new();
        let now = self.context.clock.now();
        let query = self.request.query(&excluded);
        let source = {
            let mut view = self.context.view();
            let may_return =
                view.leaving_for(self.source_key, now).is_none_or(|time| time < RETURN_TIME);
            may_return.then(|| view.reserve_leaving(self.source_key, &query, now)).flatten()
        };
        let source = source.map(|placement| ServerReservation::new(&self.context, placement));
        for reservation in [target, source].into_iter().flatten() {
            let permit = unused.take().or_else(|| ResumePermit::take(&self.context, &self.request));
            let Some(mut permit) = permit else { break };
            if reservation.server() == self.source_key {
                permit = permit.for_return();
            }
            let result = generation_resumer::resume(
                &self.context,
                &self.request,
                reservation,
                ResumeSource { resume_from: &resume_from, stopped },
                &self.progress,
                permit,
            )
            .await;
            match result {
                ResumeResult::Resumed(resumed) => return MoveOutcome::Resumed(resumed),
                ResumeResult::NotRun => {}
                ResumeResult::Failed => return MoveOutcome::Gone,
            }
        }
        MoveOutcome::Gone
    }

    /// Returns the number of tokens in the generation's memory.
    fn memory_tokens(&self) -> u64 {
        let engine = self.context.view().engine_spec(&self.request.service);
        let per_event = engine.map_or(1, |engine| u64::from(engine.tokens_per_event));
        let events = self.progress.last_event().map_or(0, |last| last + 1);
        self.request.demand.prompt_tokens + events * per_event
    }

    fn place(&self) -> Option<ServerReservation> {
        let now = self.context.clock.now();
        let query = PlacementQuery {
            preferred_zone: Some(&self.source_zone),
            moved_tokens: self.memory_tokens(),
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
            }
            let asked_at = Instant::now();
            let response = call.send(self.source, COPY_TIMEOUT).await;
            let took_ms = asked_at.elapsed().as_millis() as u64;
            let copy = match &response {
                Ok((status, body)) => self.context.engine_protocol.decode_copy(*status, body),
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
            if !is_final && !self.has_time_for(target).await {
                return None;
            }
        }
    }

    async fn release(&self, handle: &str) {
        moves::release(&self.context, handle, self.source).await;
    }

    /// Frees a copy without waiting for the engine, which may not answer.
    fn release_later(&self, handle: String) {
        let (context, source) = (Arc::clone(&self.context), self.source);
        tokio::spawn(async move { moves::release(&context, &handle, source).await });
    }
}
