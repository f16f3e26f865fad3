//! Relays the events of a generation to its caller, also when the generation moves between engines.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_core::PromptPart;
use tokio::time::Instant;
use tracing::info;

use crate::{
    BodyError, BodySender, CallerRequest, ConnectionError, EngineWatcher, EventSplitter, EventStep,
    GatewayContext, GenerationReservation, MoveOutcome, PlannedRoute, RepeatDenial,
    ResumedGeneration, RunEnd, ServerConnection, StreamEntry, StreamEvent, StreamJoin,
    StreamMemory, StreamPhase, StreamProgress, StreamRuns,
    containment::{RunState, run_check},
    resumption::{self, RelayEnd, StreamRecovery, StreamRepeater},
    versions::RequestRun,
};

/// Multiple of the route's pause target after which a stalled stream is resumed on another engine.
/// The stream is late by then; an engine that is only processing other prompts pauses for less.
const STALL_PAUSES: u32 = 4;
/// Time after which a stalled stream is resumed on another engine if the route has no pause target.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum time without progress after which callers may abandon a stream, also before its first
/// event.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
/// The same as a multiple of the route's latency target.
const PATIENCE_TARGETS: u32 = 4;
/// The same as a multiple of the route's pause target.
const PATIENCE_PAUSES: u32 = 8;

/// Maximum number of bytes without progress, that is of comments, events without an ID and events
/// that were forwarded before. The timers alone do not end a stream whose engine sends these without
/// a pause, since bytes that are there are read first. The largest event, of 256 KiB, fits four
/// times; comments that keep a connection open have some bytes a second.
const IDLE_LIMIT_BYTES: usize = 1024 * 1024;

/// Number of events between updates of a generation's reserved memory and its service's timing.
const RESIZE_EVENTS: u64 = 16;
/// Number of pauses between the first events of an engine that tell how fast it writes.
const PACE_PAUSES: u32 = 12;

enum StepOutcome {
    Continue,
    End(RelayEnd),
    Resumed(Box<ResumedGeneration>),
    /// Another engine runs the request again.
    Repeated(Box<ResumedGeneration>),
}

/// Engine that the events are read from.
pub struct RelaySource {
    /// Reserved load of the generation.
    pub reservation: GenerationReservation,
    /// Detects that the engine is leaving.
    pub watcher: EngineWatcher,
    /// Connection from which the events are read. `None` after it was closed for another run.
    pub connection: Option<ServerConnection>,
    /// Records the result at the engine.
    pub(crate) run: RequestRun,
}

/// Relay of one generation. Each event is forwarded exactly once, in order and complete.
pub struct GenerationRelay {
    context: Arc<GatewayContext>,
    request: CallerRequest,
    source: RelaySource,
    runs: StreamRuns,
    join: StreamJoin,
    progress: Arc<StreamProgress>,
    sender: BodySender,
    splitter: EventSplitter,
    memory: StreamMemory,
    events: u64,
    /// Time since which the current engine has been writing the response.
    writing_since: Instant,
    /// Time of the first event of the current engine, and the number of events since.
    pace: Option<(Instant, u32)>,
    /// Time from which the next timing sample is measured.
    timed_since: Instant,
    last_event_at: Instant,
    /// Time of the last event or, if later, of the switch to another engine.
    stalled_since: Instant,
    /// Time of the last event that advances the stream.
    progress_at: Instant,
    /// Time at which it is checked next whether the engine only sends bytes without an event.
    check_at: Instant,
    /// Time at which the last bytes of the engine arrived.
    bytes_at: Instant,
    /// Bytes received since the last event.
    idle_bytes: usize,
    longest_pause_ms: u64,
    tokens_per_event: u64,
    /// Recovery in progress. The events of an engine that may only be slow are relayed meanwhile.
    recovery: Option<StreamRecovery>,
    entry: StreamEntry,
}

impl RelaySource {
    async fn next_data(
        connection: &mut Option<ServerConnection>,
    ) -> Result<Option<Bytes>, ConnectionError> {
        match connection {
            Some(connection) => connection.next_data().await,
            None => Err(ConnectionError::Closed),
        }
    }

    /// Closes the connection, so that the engine stops.
    fn close_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close();
        }
    }
}

impl GenerationRelay {
    /// Builds the relay of a stream whose response head was forwarded.
    pub fn new(
        context: &Arc<GatewayContext>,
        request: CallerRequest,
        source: RelaySource,
        runs: StreamRuns,
        progress: Arc<StreamProgress>,
        sender: BodySender,
    ) -> GenerationRelay {
        let engine = context.view().engine_spec(&request.service);
        let tokens_per_event = engine.map_or(1, |engine| u64::from(engine.tokens_per_event));
        let patience = stream_patience(&request.route);
        let entry = context.streams.add(&request.attempt, request.arrived, &progress);
        GenerationRelay {
            context: Arc::clone(context),
            request,
            source,
            runs,
            join: StreamJoin::default(),
            progress,
            sender,
            splitter: EventSplitter::default(),
            memory: context.responses.stream(),
            events: 0,
            writing_since: Instant::now(),
            pace: None,
            timed_since: Instant::now(),
            last_event_at: Instant::now(),
            stalled_since: Instant::now(),
            progress_at: Instant::now(),
            check_at: Instant::now() + patience,
            bytes_at: Instant::now(),
            idle_bytes: 0,
            longest_pause_ms: 0,
            tokens_per_event,
            recovery: None,
            entry,
        }
    }

    /// Relays events until the stream ends.
    pub async fn run(mut self) {
        let end = loop {
            match self.step().await {
                StepOutcome::Continue => {}
                StepOutcome::End(end) => break end,
                StepOutcome::Resumed(resumed) => {
                    self.switch(*resumed);
                    self.source.reservation.engine.note_started();
                }
                StepOutcome::Repeated(repeated) => {
                    self.join.begin_run();
                    self.switch(*repeated);
                }
            }
        };
        self.finish(end).await;
    }

    async fn step(&mut self) -> StepOutcome {
        let stall_deadline = self.stalled_since + self.stall_limit();
        let can_recover = self.can_recover();
        let reads = self.reads_engine();
        let RelaySource { reservation, watcher, connection, .. } = &mut self.source;
        tokio::select! {
            biased;
            () = self.sender.closed() => StepOutcome::End(RelayEnd::CallerLeft),
            outcome = watcher.next(&self.request, reservation, &self.progress) => {
                self.settle_move(outcome).await
            }
            piece = RelaySource::next_data(connection), if reads => self.take_data(piece).await,
            () = tokio::time::sleep_until(stall_deadline), if can_recover => {
                self.begin_recovery(RelayEnd::Silent);
                StepOutcome::Continue
            }
            () = tokio::time::sleep_until(self.check_at) => self.check_silence(),
            () = tokio::time::sleep_until(self.request.deadline) => {
                StepOutcome::End(RelayEnd::TimedOut)
            }
        }
    }

    /// Returns whether a stalled stream may go on at another engine.
    fn can_recover(&self) -> bool {
        let can_repeat = self.request.route.may_repeat()
            && self.join.can_continue()
            && !self.runs.are_used_up(&self.request.route);
        // Each attempt draws on the retry budget.
        let has_patience = Instant::now() < self.progress_at + stream_patience(&self.request.route);
        let is_possible = self.source.reservation.backup.is_some() || can_repeat;
        self.recovery.is_none() && self.events > 0 && has_patience && is_possible
    }

    /// Returns whether the engine's events are relayed. Those that it makes while another engine is
    /// asked to go on come from there.
    fn reads_engine(&self) -> bool {
        self.recovery.is_none() || self.progress.phase() != StreamPhase::Resuming
    }

    /// Continues the stream after a move of its generation or a recovery.
    async fn settle_move(&mut self, outcome: MoveOutcome) -> StepOutcome {
        if let Some(recovery) = self.recovery.take() {
            return self.settle_recovery(recovery, outcome).await;
        }
        match outcome {
            MoveOutcome::Stays => {
                self.progress.enter(StreamPhase::Reading);
                StepOutcome::Continue
            }
            MoveOutcome::Gone => self.repeat(RelayEnd::Broken).await,
            MoveOutcome::Resumed(resumed) => StepOutcome::Resumed(resumed),
        }
    }

    /// Ends a stream whose engine sends bytes without an event for as long as callers wait. A silent
    /// engine may go on, for example after it has preempted the generation. Its callers decide whether
    /// to wait until the deadline.
    fn check_silence(&mut self) -> StepOutcome {
        let patience = stream_patience(&self.request.route);
        if self.bytes_at > self.progress_at && self.bytes_at.elapsed() < patience / 2 {
            return StepOutcome::End(RelayEnd::Silent);
        }
        info!(
            id = self.request.attempt,
            server = self.source.reservation.engine.id(),
            events = self.events,
            silent_ms = self.progress_at.elapsed().as_millis() as u64,
            "stream: engine is silent"
        );
        self.source.run.note_failure();
        self.check_at = Instant::now() + patience;
        StepOutcome::Continue
    }

    /// Returns the time without an event after which the stream is resumed on another engine.
    fn stall_limit(&self) -> Duration {
        let route = &self.request.route;
        let limit = stall_limit(route);
        // An engine that runs the request again has to read its prompt first.
        if self.join.is_joining() { limit.max(route.latency_target) } else { limit }
    }

    async fn take_data(&mut self, piece: Result<Option<Bytes>, ConnectionError>) -> StepOutcome {
        if !matches!(piece, Ok(Some(_))) {
            self.source.watcher.note_response_ended();
        }
        match piece {
            Ok(Some(bytes)) => {
                if let Some(end) = self.reserve(bytes.len()).await {
                    return StepOutcome::End(end);
                }
                self.idle_bytes += bytes.len();
                self.bytes_at = Instant::now();
                self.splitter.push(&bytes);
                match self.forward_events().await {
                    StepOutcome::Continue if self.idle_bytes > IDLE_LIMIT_BYTES => {
                        if let Some(connection) = &self.source.connection {
                            connection.log_excess("bytes without an event", IDLE_LIMIT_BYTES);
                        }
                        self.recover(RelayEnd::Broken).await
                    }
                    outcome => outcome,
                }
            }
            Ok(None) if self.splitter.has_partial() => self.recover(RelayEnd::Broken).await,
            Ok(None) => self.complete().await,
            Err(_) => self.recover(RelayEnd::Broken).await,
        }
    }

    /// Ends a stream after its last event.
    async fn complete(&mut self) -> StepOutcome {
        if !self.join.can_end(self.progress.last_event()) {
            return StepOutcome::End(RelayEnd::Gap);
        }
        if !self.source.connection.as_ref().is_some_and(ServerConnection::ended_by_close) {
            self.source.run.note_survived();
            return StepOutcome::End(RelayEnd::Complete);
        }
        // The end of the engine would look the same.
        if self.events == 0 || self.join.is_joining() {
            return self.recover(RelayEnd::Broken).await;
        }
        match self.source.watcher.stopped_outcome().await {
            None => {}
            Some(MoveOutcome::Resumed(resumed)) => return StepOutcome::Resumed(resumed),
            Some(MoveOutcome::Gone) => return self.repeat(RelayEnd::Broken).await,
            Some(MoveOutcome::Stays) => return self.recover(RelayEnd::Broken).await,
        }
        // A process that exits closes its connections, too.
        match run_check::check_engine(&self.context, &self.source.reservation.engine).await {
            RunState::Ended => return self.recover(RelayEnd::Broken).await,
            RunState::Running => self.source.run.note_survived(),
            RunState::Unknown => {}
        }
        StepOutcome::End(RelayEnd::Complete)
    }

    /// Begins to resume the stream on another engine after the response was cut off or stalled.
    fn begin_recovery(&mut self, cause: RelayEnd) {
        info!(
            id = self.request.attempt,
            server = self.source.reservation.engine.id(),
            cause = <&str>::from(cause),
            parts = PromptPart::list(&self.request.prompt_parts),
            writing_ms = self.writing_since.elapsed().as_millis() as u64,
            events = self.events,
            "stream: engine lost"
        );
        // The engine ends the response of a generation that is being moved, and all responses when it
        // exits as announced.
        let is_leaving = self.context.view().is_leaving(self.source.reservation.engine.server());
        let is_moving = self.source.watcher.is_moving();
        let recovery = match self.recovery {
            // The response of a stalled stream was cut off before the engine was told to stop it.
            Some(recovery) => StreamRecovery { cause, ..recovery },
            None => StreamRecovery {
                cause,
                is_failure: !is_moving && !is_leaving,
                // Without a backup, nothing was done about the generation.
                is_untouched: self.source.reservation.backup.is_none() && !is_moving,
            },
        };
        if cause == RelayEnd::Broken {
            if recovery.is_failure {
                self.source.run.note_failure();
            }
            run_check::start(&self.context, &self.source.reservation.engine);
        }
        self.source.watcher.begin_recovery();
        self.recovery = Some(recovery);
    }

    /// Resumes the stream on another engine after the response was cut off, or lets it run again at
    /// another one. Ends it if neither is possible.
    async fn recover(&mut self, cause: RelayEnd) -> StepOutcome {
        match &mut self.recovery {
            // The stop of a stalled generation ends its response, too.
            Some(recovery) if self.source.watcher.is_stop_asked() => recovery.cause = cause,
            _ => self.begin_recovery(cause),
        }
        let RelaySource { reservation, watcher, .. } = &mut self.source;
        // An engine that is heard but can't be told to stop keeps the recovery waiting.
        let outcome = tokio::select! {
            biased;
            () = self.sender.closed() => return StepOutcome::End(RelayEnd::CallerLeft),
            outcome = watcher.next(&self.request, reservation, &self.progress) => outcome,
            () = tokio::time::sleep_until(self.request.deadline) => {
                return StepOutcome::End(RelayEnd::TimedOut);
            }
        };
        self.settle_move(outcome).await
    }

    /// Continues the stream after its recovery. If the generation was not resumed, it runs again at
    /// another engine, stays at its own or ends.
    async fn settle_recovery(
        &mut self,
        recovery: StreamRecovery,
        outcome: MoveOutcome,
    ) -> StepOutcome {
        let StreamRecovery { cause, is_failure, is_untouched } = recovery;
        match outcome {
            MoveOutcome::Resumed(resumed) => {
                if is_failure {
                    self.source.run.note_failure();
                }
                StepOutcome::Resumed(resumed)
            }
            MoveOutcome::Gone if !is_untouched => {
                self.source.close_connection();
                self.repeat(cause).await
            }
            MoveOutcome::Stays | MoveOutcome::Gone => {
                let outcome = self.repeat(cause).await;
                if is_failure && matches!(outcome, StepOutcome::Repeated(_)) {
                    self.source.run.note_failure();
                }
                outcome
            }
        }
    }

    /// Lets the stream run again at another engine, if its route allows it and the caller is still
    /// there. Ends it otherwise, or leaves it at its engine if that one may only be slow.
    async fn repeat(&mut self, end: RelayEnd) -> StepOutcome {
        if !self.request.route.may_repeat() {
            return self.end_unless_open(end);
        }
        let sender = self.sender.clone();
        let result = tokio::select! {
            biased;
            () = sender.closed() => return StepOutcome::End(RelayEnd::CallerLeft),
            result = self.run_again(end) => result,
        };
        match result {
            Ok(repeated) => {
                self.context.metrics.count_repeat("continued");
                info!(
                    id = self.request.attempt,
                    server = repeated.reservation.engine.id(),
                    before = self.source.reservation.engine.id(),
                    cause = <&str>::from(end),
                    last_event = self.progress.last_event(),
                    paused_ms = self.last_event_at.elapsed().as_millis() as u64,
                    "stream: continued"
                );
                StepOutcome::Repeated(Box::new(repeated))
            }
            Err(denial) => {
                let reason = <&str>::from(denial);
                self.context.metrics.count_repeat(reason);
                info!(id = self.request.attempt, reason, "stream: not continued");
                self.end_unless_open(end)
            }
        }
    }

    /// Ends a stream that does not go on elsewhere, unless its engine may only be slow and the
    /// response is still open.
    fn end_unless_open(&mut self, end: RelayEnd) -> StepOutcome {
        if end == RelayEnd::Silent && self.source.connection.is_some() {
            self.stalled_since = Instant::now();
            self.progress.enter(StreamPhase::Reading);
            return StepOutcome::Continue;
        }
        StepOutcome::End(end)
    }

    /// Closes the connection to the engine and sends the request to another one. An engine that is
    /// only silent keeps its connection until another one has room.
    async fn run_again(&mut self, end: RelayEnd) -> Result<ResumedGeneration, RepeatDenial> {
        if !self.join.can_continue() {
            return Err(RepeatDenial::Unnumbered);
        }
        let may_only_be_slow = end == RelayEnd::Silent && self.source.connection.is_some();
        if !may_only_be_slow {
            self.source.close_connection();
            let engine = &self.source.reservation.engine;
            resumption::settle_loss(&self.context, &self.request, engine, &mut self.runs).await;
        }
        self.progress.enter(StreamPhase::Repeating);
        // A caller that is still there after its usual patience waits on.
        let patience_end = self.check_at;
        let last_event = self.progress.last_event();
        let mut repeater = StreamRepeater::new(
            &self.context,
            &self.request,
            &mut self.runs,
            patience_end.min(self.request.deadline),
        );
        loop {
            let may_wait = self.source.connection.is_none();
            let reservation = repeater.reserve(may_wait).await?;
            self.source.close_connection();
            if let Some(repeated) = repeater.offer(reservation, last_event).await? {
                return Ok(repeated);
            }
        }
    }

    /// Switches to the events of another engine. The response head was already forwarded, so only
    /// events after the last one are needed.
    fn switch(&mut self, resumed: ResumedGeneration) {
        let mut run = resumed.response.run;
        run.continue_from(&self.source.run);
        // The usage of the team counts a stream once, with its first event.
        if self.events > 0 {
            run.skip_use();
        }
        let source = RelaySource {
            reservation: resumed.reservation,
            watcher: EngineWatcher::new(&self.context),
            connection: Some(resumed.response.connection),
            run,
        };
        let mut old = std::mem::replace(&mut self.source, source);
        info!(
            id = self.request.attempt,
            server = old.reservation.engine.id(),
            "stream: engine before closed"
        );
        old.close_connection();
        old.run.close(RunEnd::Abandoned);
        old.reservation.close();
        self.progress.enter(StreamPhase::Reading);
        self.recovery = None;
        self.splitter = EventSplitter::default();
        self.idle_bytes = 0;
        self.bytes_at = self.progress_at;
        self.pace = None;
        self.writing_since = Instant::now();
        self.stalled_since = self.writing_since;
    }

    /// Waits for memory for more bytes of events. Returns the end of the stream if there is none for
    /// as long as its caller would wait.
    async fn reserve(&mut self, bytes: usize) -> Option<RelayEnd> {
        let bytes = self.splitter.buffered() + bytes;
        let patience = Instant::now() + stream_patience(&self.request.route);
        tokio::select! {
            biased;
            result = self.memory.receive(bytes) => {
                if result.is_ok() {
                    return None;
                }
            }
            () = self.sender.closed() => return Some(RelayEnd::CallerLeft),
            () = tokio::time::sleep_until(patience.min(self.request.deadline)) => {}
        }
        self.context.metrics.responses_without_memory.inc();
        info!(
            id = self.request.attempt,
            server = self.source.reservation.engine.id(),
            bytes,
            "stream: no memory for an event"
        );
        Some(RelayEnd::NoMemory)
    }

    async fn forward_events(&mut self) -> StepOutcome {
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => {
                    if let Some(end) = self.forward_event(event).await {
                        return StepOutcome::End(end);
                    }
                }
                Ok(None) => return StepOutcome::Continue,
                Err(_) => return StepOutcome::End(RelayEnd::Broken),
            }
        }
    }

    async fn forward_event(&mut self, event: StreamEvent) -> Option<RelayEnd> {
        match self.join.step(&event, self.progress.last_event()) {
            EventStep::Forward => {}
            EventStep::Skip => {
                // The engine runs the request again, and repeated events are progress.
                if self.join.is_joining() {
                    self.stalled_since = Instant::now();
                }
                return None;
            }
            EventStep::Gap => return Some(RelayEnd::Gap),
        }
        // An event without an ID, such as a comment, does not show that the generation proceeds.
        if let Some(id) = event.id {
            self.progress.advance(id);
            self.note_event();
            self.end_stall();
        }
        let bytes = self.memory.keep(&event.bytes).await;
        match self.sender.send(Ok(bytes)).await {
            Ok(()) => None,
            Err(_) => Some(RelayEnd::CallerLeft),
        }
    }

    /// Ends the recovery of a stalled stream whose engine sends events again, unless the generation is
    /// stopped already.
    fn end_stall(&mut self) {
        if self.recovery.take_if(|recovery| recovery.is_stall()).is_some() {
            self.source.watcher.note_progress();
        }
    }

    fn note_event(&mut self) {
        let now = Instant::now();
        self.source.run.note_event();
        if self.pace.is_none() {
            self.source.reservation.engine.note_started();
        }
        self.note_pace(now);
        let service = &self.request.service;
        if self.events == 0 {
            let time = self.request.arrived.elapsed();
            self.context.metrics.count_first_event(time);
            self.context.view().timing_mut(service).note_first_event(time);
            self.timed_since = now;
        } else {
            let pause_ms = self.last_event_at.elapsed().as_millis() as u64;
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.events += 1;
        if self.events.is_multiple_of(RESIZE_EVENTS) {
            let tokens = RESIZE_EVENTS * self.tokens_per_event;
            self.context.view().timing_mut(service).note_tokens(tokens, now - self.timed_since);
            self.timed_since = now;
            let made = self.progress.last_event().map_or(0, |last| last + 1);
            self.source.reservation.resize(&self.request, made * self.tokens_per_event);
        }
        self.last_event_at = now;
        self.stalled_since = self.last_event_at;
        self.progress_at = self.last_event_at;
        self.check_at = self.progress_at + stream_patience(&self.request.route);
        self.idle_bytes = 0;
    }

    /// Records the time to the engine's first event at once, and then how fast it writes: a slow
    /// version's streams would end too late to be compared.
    fn note_pace(&mut self, now: Instant) {
        let Some((first_at, pauses)) = &mut self.pace else {
            self.source.run.note_started();
            self.pace = Some((now, 0));
            return;
        };
        *pauses += 1;
        if *pauses == PACE_PAUSES {
            self.source.run.note_pause((now - *first_at) / PACE_PAUSES);
        }
    }

    async fn finish(self, end: RelayEnd) {
        let outcome = <&str>::from(end);
        self.log_end(outcome);
        if end == RelayEnd::Complete {
            self.source.watcher.note_complete();
        }
        let RelaySource { reservation, connection, run, .. } = self.source;
        run.close(match end {
            RelayEnd::Complete => RunEnd::Good,
            RelayEnd::Broken | RelayEnd::Gap | RelayEnd::Silent => RunEnd::Failed,
            RelayEnd::CallerLeft | RelayEnd::TimedOut | RelayEnd::NoMemory => RunEnd::Abandoned,
        });
        match connection {
            Some(connection) if end == RelayEnd::Complete => {
                self.context.pool.put_back(reservation.engine.address(), connection);
            }
            Some(connection) => connection.close(),
            None => {}
        }
        let last_piece = match end {
            RelayEnd::Complete => Ok(Bytes::new()),
            _ => Err(BodyError::Interrupted),
        };
        reservation.close();
        if end != RelayEnd::CallerLeft && self.sender.send(last_piece).await.is_err() {
            info!(id = self.request.attempt, "stream: the caller left before its end was told");
        }
        // The connection drops the body once its caller has got the rest, or has left.
        self.progress.enter(StreamPhase::Delivering);
        self.sender.closed().await;
        drop(self.entry);
    }

    fn log_end(&self, outcome: &'static str) {
        let GenerationRelay { context, request, source, progress, .. } = self;
        let total = request.arrived.elapsed();
        context.metrics.count_request(request.route.kind.into(), outcome, total);
        let stopping = context.stop_began().map(|began| began.elapsed());
        info!(
            id = request.attempt,
            route = request.route.name,
            server = source.reservation.engine.id(),
            outcome,
            phase = <&str>::from(progress.phase()),
            is_stop_asked = source.watcher.is_stop_asked(),
            events = self.events,
            last_event = progress.last_event(),
            longest_pause_ms = self.longest_pause_ms,
            silent_ms = progress.silent_time().as_millis() as u64,
            total_ms = total.as_millis() as u64,
            stopping_ms = stopping.map(|time| time.as_millis() as u64),
            "stream: ended"
        );
    }
}

/// Returns the silence after which a stream counts as stalled and is resumed on another engine.
pub(crate) fn stall_limit(route: &PlannedRoute) -> Duration {
    route.pause_target.map_or(DEFAULT_STALL_TIMEOUT, |pause| pause * STALL_PAUSES)
}

/// Returns the time without progress after which callers may abandon a stream.
pub fn stream_patience(route: &PlannedRoute) -> Duration {
    let pause = route.pause_target.unwrap_or_default();
    LEAST_PATIENCE.max(route.latency_target * PATIENCE_TARGETS).max(pause * PATIENCE_PAUSES)
}
