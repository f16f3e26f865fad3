//! Relays the events of a generation to its caller, also when the generation moves between engines.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_core::PromptPart;
use tokio::time::Instant;
use tracing::info;

use crate::{
    BodyError, BodySender, CallerRequest, ConnectionError, EngineWatcher, EventSplitter,
    GatewayContext, GenerationReservation, MoveOutcome, PlannedRoute, ResumedGeneration, RunEnd,
    ServerConnection, StreamEvent, StreamMemory, StreamProgress,
    containment::{RunState, run_check},
    versions::RequestRun,
};

/// Multiple of the route's pause target after which a stalled stream is resumed on another engine.
/// The stream is late by then; an engine that is only processing other prompts pauses for less.
const STALL_PAUSES: u32 = 4;
/// Time after which a stalled stream is resumed on another engine if the route has no pause target.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum time without progress after which callers abandon a stream, also before its first event.
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

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum RelayEnd {
    /// The whole stream was sent to the caller.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The connection to the engine was lost.
    Broken,
    /// The engine was silent for too long.
    Silent,
    /// Event IDs are missing in the sequence.
    Gap,
    /// The request's deadline passed.
    TimedOut,
    /// There was no memory for an event.
    NoMemory,
}

enum StepOutcome {
    Continue,
    End(RelayEnd),
    Resumed(Box<ResumedGeneration>),
}

/// Engine that the events are read from.
pub struct RelaySource {
    /// Reserved load of the generation.
    pub reservation: GenerationReservation,
    /// Detects that the engine is leaving.
    pub watcher: EngineWatcher,
    /// Connection from which the events are read.
    pub connection: ServerConnection,
    /// Records the result at the engine.
    pub(crate) run: RequestRun,
}

/// Relay of one generation. Each event is forwarded exactly once, in order and complete.
pub struct GenerationRelay {
    context: Arc<GatewayContext>,
    request: CallerRequest,
    source: RelaySource,
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
    /// Bytes received since then.
    idle_bytes: usize,
    longest_pause_ms: u64,
    tokens_per_event: u64,
}

impl GenerationRelay {
    /// Builds the relay of a stream whose response head was forwarded.
    pub fn new(
        context: &Arc<GatewayContext>,
        request: CallerRequest,
        source: RelaySource,
        progress: Arc<StreamProgress>,
        sender: BodySender,
    ) -> GenerationRelay {
        let engine = context.view().engine_spec(&request.service);
        let tokens_per_event = engine.map_or(1, |engine| u64::from(engine.tokens_per_event));
        GenerationRelay {
            context: Arc::clone(context),
            request,
            source,
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
            idle_bytes: 0,
            longest_pause_ms: 0,
            tokens_per_event,
        }
    }

    /// Relays events until the stream ends.
    pub async fn run(mut self) {
        let end = loop {
            match self.step().await {
                StepOutcome::Continue => {}
                StepOutcome::End(end) => break end,
                StepOutcome::Resumed(resumed) => self.switch(*resumed),
            }
        };
        self.finish(end).await;
    }

    async fn step(&mut self) -> StepOutcome {
        let RelaySource { reservation, watcher, connection, .. } = &mut self.source;
        let pause = self.request.route.pause_target;
        let limit = pause.map_or(DEFAULT_STALL_TIMEOUT, |pause| pause * STALL_PAUSES);
        let stall_deadline = self.stalled_since + limit;
        let patience = stream_patience(&self.request.route);
        let can_recover = self.events > 0 && reservation.backup.is_some();
        tokio::select! {
            biased;
            () = self.sender.closed() => StepOutcome::End(RelayEnd::CallerLeft),
            outcome = watcher.next(&self.request, reservation, &self.progress) => match outcome {
                MoveOutcome::Stays => StepOutcome::Continue,
                MoveOutcome::Gone => StepOutcome::End(RelayEnd::Broken),
                MoveOutcome::Resumed(resumed) => StepOutcome::Resumed(resumed),
            },
            piece = connection.next_data() => self.take_data(piece).await,
            () = tokio::time::sleep_until(stall_deadline), if can_recover => {
                self.recover(RelayEnd::Silent).await
            }
            () = tokio::time::sleep_until(self.progress_at + patience) => {
                StepOutcome::End(RelayEnd::Silent)
            }
            () = tokio::time::sleep_until(self.request.deadline) => {
                StepOutcome::End(RelayEnd::TimedOut)
            }
        }
    }

    async fn take_data(&mut self, piece: Result<Option<Bytes>, ConnectionError>) -> StepOutcome {
        match piece {
            Ok(Some(bytes)) => {
                if let Some(end) = self.reserve(bytes.len()).await {
                    return StepOutcome::End(end);
                }
                self.idle_bytes += bytes.len();
                self.splitter.push(&bytes);
                match self.forward_events().await {
                    StepOutcome::Continue if self.idle_bytes > IDLE_LIMIT_BYTES => {
                        let unit = "bytes without an event";
                        self.source.connection.log_excess(unit, IDLE_LIMIT_BYTES);
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
        if !self.source.connection.ended_by_close() {
            self.source.run.note_survived();
            return StepOutcome::End(RelayEnd::Complete);
        }
        // The end of the engine would look the same.
        if self.events == 0 {
            return self.recover(RelayEnd::Broken).await;
        }
        match self.source.watcher.stopped_outcome().await {
            None => {}
            Some(MoveOutcome::Resumed(resumed)) => return StepOutcome::Resumed(resumed),
            Some(MoveOutcome::Gone) => return StepOutcome::End(RelayEnd::Broken),
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

    /// Resumes the stream on another engine after the response was cut off or stalled. Ends it if
    /// that is not possible.
    async fn recover(&mut self, end: RelayEnd) -> StepOutcome {
        info!(
            id = self.request.attempt,
            server = self.source.reservation.engine.id(),
            cause = <&str>::from(end),
            parts = PromptPart::list(&self.request.prompt_parts),
            writing_ms = self.writing_since.elapsed().as_millis() as u64,
            events = self.events,
            "stream: engine lost"
        );
        // The engine ends the response of a generation that is being moved, and all responses when it
        // exits as announced.
        let is_leaving = self.context.view().is_leaving(self.source.reservation.engine.server());
        let is_failure = !self.source.watcher.is_moving() && !is_leaving;
        if end == RelayEnd::Broken {
            if is_failure {
                self.source.run.note_failure();
            }
            run_check::start(&self.context, &self.source.reservation.engine);
        }
        let RelaySource { reservation, watcher, run, .. } = &mut self.source;
        match watcher.recover(&self.request, reservation, &self.progress).await {
            MoveOutcome::Resumed(resumed) => {
                if is_failure {
                    run.note_failure();
                }
                StepOutcome::Resumed(resumed)
            }
            // The engine may only be slow, and its response is still open.
            MoveOutcome::Stays if end == RelayEnd::Silent => {
                self.stalled_since = Instant::now();
                StepOutcome::Continue
            }
            MoveOutcome::Stays | MoveOutcome::Gone => StepOutcome::End(end),
        }
    }

    /// Switches to the events of another engine. The response head was already forwarded and the
    /// generation is the same, so only events after the last one are needed.
    fn switch(&mut self, resumed: ResumedGeneration) {
        let mut run = resumed.response.run;
        run.continue_from(&self.source.run);
        let source = RelaySource {
            reservation: resumed.reservation,
            watcher: EngineWatcher::new(&self.context),
            connection: resumed.response.connection,
            run,
        };
        let old = std::mem::replace(&mut self.source, source);
        info!(
            id = self.request.attempt,
            server = old.reservation.engine.id(),
            "stream: engine before closed"
        );
        old.connection.close();
        old.run.close(RunEnd::Abandoned);
        old.reservation.close();
        self.source.reservation.engine.note_started();
        self.splitter = EventSplitter::default();
        self.idle_bytes = 0;
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
        if let (Some(last), Some(id)) = (self.progress.last_event(), event.id) {
            if id <= last {
                return None;
            }
            if id > last + 1 {
                return Some(RelayEnd::Gap);
            }
        }
        // An event without an ID, such as a comment, does not show that the generation proceeds.
        if let Some(id) = event.id {
            self.progress.advance(id);
            self.note_event();
        }
        let bytes = self.memory.keep(&event.bytes).await;
        match self.sender.send(Ok(bytes)).await {
            Ok(()) => None,
            Err(_) => Some(RelayEnd::CallerLeft),
        }
    }

    fn note_event(&mut self) {
        let now = Instant::now();
        self.source.run.note_event();
        self.note_pace(now);
        let service = &self.request.service;
        if self.events == 0 {
            let time = self.request.arrived.elapsed();
            self.source.reservation.engine.note_started();
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
        log_end(&self.context, &self.request, outcome, self.events, self.longest_pause_ms);
        let RelaySource { reservation, connection, run, .. } = self.source;
        run.close(match end {
            RelayEnd::Complete => RunEnd::Good,
            RelayEnd::Broken | RelayEnd::Gap | RelayEnd::Silent => RunEnd::Failed,
            RelayEnd::CallerLeft | RelayEnd::TimedOut | RelayEnd::NoMemory => RunEnd::Abandoned,
        });
        if end == RelayEnd::Complete {
            self.context.pool.put_back(reservation.engine.address(), connection);
        } else {
            connection.close();
        }
        let is_cut = !matches!(end, RelayEnd::Complete | RelayEnd::CallerLeft);
        if is_cut && self.sender.send(Err(BodyError::Interrupted)).await.is_err() {
            info!(id = self.request.attempt, "stream: the caller left before its end was told");
        }
        reservation.close();
    }
}

/// Returns the time without progress after which a stream is ended, because its caller has left or
/// will find it useless. A slow stream is only ended after this time.
pub fn stream_patience(route: &PlannedRoute) -> Duration {
    let pause = route.pause_target.unwrap_or_default();
    LEAST_PATIENCE.max(route.latency_target * PATIENCE_TARGETS).max(pause * PATIENCE_PAUSES)
}

fn log_end(
    context: &GatewayContext,
    request: &CallerRequest,
    outcome: &'static str,
    events: u64,
    longest_pause_ms: u64,
) {
    context.metrics.count_request(request.route.kind.into(), outcome, request.arrived.elapsed());
    info!(
        id = request.attempt,
        route = request.route.name,
        outcome,
        events,
        longest_pause_ms,
        total_ms = request.arrived.elapsed().as_millis() as u64,
        "stream: ended"
    );
}
