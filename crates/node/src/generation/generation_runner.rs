//! Runs one generation to its end, reconnecting or changing the engine as needed.
//!
//! A connection that times out is replaced by a new one to the same engine, which resumes at the
//! next index. If the engine has lost the generation, another engine of the same model version
//! continues it in a higher epoch, with the received tokens as a forced prefix. Tokens of an old
//! epoch or with an unexpected index are not added to the buffer.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use dragonflycart_containment::WRITING_PROOF;
use dragonflycart_core::{
    ErrorKind, GenerationId, PromptPart, ServerInstance, ServerName, ServiceError,
};
use dragonflycart_engine::{
    EngineClient, EngineError, FinishReason, GenerationRequest, StreamEvent, TokenStream,
};
use dragonflycart_policy::AttemptFailure;
use dragonflycart_state::{ResumePoint, StreamAssembler, TokenDecision};
use futures::StreamExt;
use log::{info, warn};
use tokio::time::{Instant, timeout_at};

use crate::{
    containment::CrashWatch,
    control::{
        AttemptPace, AttemptReport, ControlHandle, ControlMessage, PlacedGeneration,
        PlacementGrant, PlacementNotice,
    },
    generation::{
        GenerationBuffer, GenerationEnd, GenerationSpec, StopLimits,
        attempt_stop::{AttemptStop, EngineHold, StopTask},
    },
    node_metrics::NodeMetrics,
    server_directory::ServerDirectory,
    slo_events::SloEvents,
};

/// Number of tokens between two progress reports to the control thread.
const PROGRESS_STEP: u64 = 16;
/// Interval at which to look whether an engine that has not answered is still heard.
const HEARD_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before reconnecting to an engine after a connection failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Timeouts and retry limit for the connection to an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunnerLimits {
    /// Time without any event after which the connection is replaced.
    pub(crate) idle_timeout: Duration,
    /// Time without a token after which the generation continues on another engine, if it can.
    pub(crate) progress_timeout: Duration,
    /// Maximum number of reconnections to one engine without a token in between.
    pub(crate) max_reconnects: u32,
    /// Limits of the requests that stop a generation at an engine.
    pub(crate) stop: StopLimits,
}

/// Shared state that generations and calls run with.
#[derive(Clone)]
pub(crate) struct RunnerContext {
    /// Handle of the control thread.
    pub(crate) control: ControlHandle,
    /// Clients of the backend servers.
    pub(crate) servers: Arc<ServerDirectory>,
    /// Metrics.
    pub(crate) metrics: Arc<NodeMetrics>,
    /// Timeouts and retry limit.
    pub(crate) limits: RunnerLimits,
    /// Prompts that crash engines.
    pub(crate) crashes: Arc<CrashWatch>,
}

/// How an attempt on one engine ended.
enum AttemptEnd {
    Finished(FinishReason),
    /// The engine lost the generation or became unreachable.
    EngineLost,
    /// No connection was made, so the engine never saw the request.
    NotSent,
    /// The engine reported a failure, for example because the model version is faulty.
    EngineFailed(String),
    /// The engine responds but has produced no token for too long.
    Stalled,
    /// The engine refused the request without running it.
    Refused(String),
    /// The placement preempted the request.
    Preempted,
    /// The placement cancelled the request.
    Cancelled(ErrorKind),
    /// This process is stopping. The engine continues the generation for another VM.
    Stopping,
}

/// How reading one connection ended.
enum ReadEnd {
    /// Open a new connection to the same engine.
    Reconnect,
    /// The attempt ended.
    Attempt(AttemptEnd),
}

/// Runs one generation and writes its tokens to the buffer.
pub(crate) struct GenerationRunner {
    context: RunnerContext,
    buffer: Arc<GenerationBuffer>,
    spec: GenerationSpec,
    placed: PlacedGeneration,
    assembler: StreamAssembler,
    unique: String,
    epoch: u32,
    events: SloEvents,
    last_token_at: Instant,
    accepted_at: Instant,
    /// Parts of the prompt, and the contained one for whose trial the generation was admitted.
    parts: Vec<PromptPart>,
    trial: Option<PromptPart>,
    /// Start of the current attempt, and the index of its first token.
    attempt: Option<(Instant, u64)>,
    /// Time of the first token on the current engine.
    writing_since: Option<Instant>,
    /// Whether the prompt was seen not to crash its engine.
    is_proven: bool,
    /// Whether the engine of the current attempt has ended or restarted.
    engine_ended: bool,
    /// What is known about the generation at the engine of the current attempt.
    hold: EngineHold,
    /// Engines of earlier attempts that may still work on the generation.
    stops: BTreeMap<ServerName, StopTask>,
    /// Server that the placement granted while the engine before was told to stop.
    early_grant: Option<PlacementGrant>,
}

impl GenerationRunner {
    /// Builds the runner of a generation that was submitted to the placement.
    pub(crate) fn new(
        context: RunnerContext,
        buffer: Arc<GenerationBuffer>,
        spec: GenerationSpec,
        placed: PlacedGeneration,
    ) -> GenerationRunner {
        let unique = format!("{:032x}", buffer.location().unique());
        let now = Instant::now();
        let mut events = SloEvents::new(spec.team.clone(), spec.route.clone());
        events.version = Some(placed.version.clone());
        let parts = CrashWatch::parts_of(&spec.prompt);
        GenerationRunner {
            assembler: StreamAssembler::new(&unique),
            context,
            buffer,
            spec,
            placed,
            unique,
            epoch: 0,
            events,
            last_token_at: now,
            accepted_at: now,
            parts,
            trial: None,
            attempt: None,
            writing_since: None,
            is_proven: false,
            engine_ended: false,
            hold: EngineHold::Absent,
            stops: BTreeMap::new(),
            early_grant: None,
        }
    }

    /// Runs the generation to its end, or until it is handed over to another VM.
    pub(crate) async fn run(mut self) {
        let mut abandoned = self.buffer.abandoned();
        let mut handed_over = self.buffer.handed_over();
        let result = tokio::select! {
            biased;
            // First, so that a generation that another VM reads is not stopped at its engine.
            _ = handed_over.wait_for(|handed_over| *handed_over) => None,
            result = self.run_attempts() => Some(result),
            _ = abandoned.wait_for(|abandoned| *abandoned) => Some(Err(ServiceError::new(
                ErrorKind::Interrupted,
                "the generation was given up, because nobody read it",
            ))),
        };
        let is_handed_over = *self.buffer.handed_over().borrow();
        let result = match result {
            Some(result) if result.is_ok() || !is_handed_over => result,
            _ => return self.hand_over().await,
        };
        if *self.buffer.abandoned().borrow() {
            self.release_engine().await;
        }
        let events = self.events.close(&result);
        self.context.control.send(ControlMessage::Burn(events)).await;
        let end = match result {
            Ok(reason) => GenerationEnd::Finished { reason },
            Err(error) => {
                let id = self.buffer.location();
                warn!("stream: generation failed; generation={id} error={error}");
                self.context.metrics.count_error(error.kind());
                GenerationEnd::Failed(error)
            }
        };
        self.buffer.finish(end);
    }

    /// Leaves the generation to its engine, from which another VM reads it.
    async fn hand_over(&self) {
        info!("stream: handed over; generation={}", self.buffer.location());
        self.report_cancelled().await;
        let message = "the VM stops; continue at another VM";
        let error = ServiceError::new(ErrorKind::Interrupted, message);
        self.buffer.finish(GenerationEnd::Failed(error));
    }

    /// Cancels an abandoned generation at the engine and in the placement.
    async fn release_engine(&mut self) {
        self.stop_attempt().await;
        self.report_cancelled().await;
    }

    /// Stops the generation at the engine of the current attempt. All ways to another engine pass
    /// here first; an engine that can't be told now is told again in the background.
    async fn stop_attempt(&mut self) {
        let location = self.buffer.location();
        if self.hold == EngineHold::Absent {
            return;
        }
        let Some(engine) = self.context.servers.engine(location.server()) else {
            return;
        };
        let server = location.server().clone();
        let stop = AttemptStop::new(engine, location, self.hold, self.context.limits.stop);
        if let Some(task) = stop.run().await {
            self.stops.insert(server, task);
        }
        self.hold = EngineHold::Absent;
    }

    async fn run_attempts(&mut self) -> Result<FinishReason, ServiceError> {
        let mut message = "no backend server became free in time".to_owned();
        let mut first = true;
        loop {
            let grant = self.next_grant(&message).await?;
            self.check_prompt(first).await?;
            // An engine that has seen the generation in an earlier attempt refuses the same epoch.
            let prefix = if std::mem::take(&mut first) {
                Vec::new()
            } else {
                self.next_epoch(&message).await?
            };
            self.attempt = Some((Instant::now(), self.buffer.next_index()));
            if let Some(task) = self.stops.remove(&grant.server) {
                task.close().await;
            }
            let mut end = self.run_attempt(&grant, prefix).await;
            if !self.buffer.detach() && !matches!(end, AttemptEnd::Finished(_)) {
                end = AttemptEnd::Stopping;
            }
            match end {
                AttemptEnd::Finished(_) | AttemptEnd::Stopping => {}
                AttemptEnd::Cancelled(_) => self.stop_attempt().await,
                _ => {
                    if let Err(kind) = self.stop_before_move().await {
                        end = AttemptEnd::Cancelled(kind);
                    }
                }
            }
            self.report(&end).await;
            self.note_prompt(&end, &grant);
            message = match end {
                AttemptEnd::Finished(reason) => return Ok(reason),
                AttemptEnd::Cancelled(kind) => {
                    return Err(ServiceError::new(kind, "the generation was given up"));
                }
                AttemptEnd::Stopping => {
                    let message = "the VM stops; continue at another VM";
                    return Err(ServiceError::new(ErrorKind::Draining, message));
                }
                AttemptEnd::EngineLost => "the backend server lost the generation".to_owned(),
                AttemptEnd::NotSent => "the backend server can't be reached".to_owned(),
                AttemptEnd::EngineFailed(message) | AttemptEnd::Refused(message) => message,
                AttemptEnd::Stalled => "the backend server made no progress".to_owned(),
                AttemptEnd::Preempted => "the generation was preempted".to_owned(),
            };
            self.context.metrics.continuations.inc();
            let next = self.buffer.next_index();
            info!(
                "stream: attempt ended; generation={} server={} next={next} reason={message}",
                self.unique, grant.server,
            );
        }
    }

    /// Checks before each attempt that the prompt is not known to crash engines.
    async fn check_prompt(&mut self, is_first: bool) -> Result<(), ServiceError> {
        match self.context.crashes.admit(&self.unique, &self.parts, self.trial) {
            Ok(trial) => {
                self.trial = trial;
                Ok(())
            }
            // The generation has run on another engine.
            Err(error) if !is_first => self.give_up(&error.to_string()).await,
            Err(error) => {
                self.report_cancelled().await;
                Err(error)
            }
        }
    }

    /// Records what the attempt says about the prompt.
    fn note_prompt(&self, end: &AttemptEnd, grant: &PlacementGrant) {
        let is_new = self.writing_since.is_some_and(|since| since.elapsed() < WRITING_PROOF);
        match end {
            AttemptEnd::Finished(_) => self.context.crashes.note_sound(&self.parts),
            AttemptEnd::EngineLost if self.engine_ended && is_new && !self.is_proven => {
                self.context.crashes.note_crash(&grant.server, grant.instance, &self.parts);
            }
            _ => {}
        }
    }

    /// Waits until the placement grants a backend server.
    async fn next_grant(&mut self, message: &str) -> Result<PlacementGrant, ServiceError> {
        if let Some(grant) = self.early_grant.take() {
            return Ok(grant);
        }
        loop {
            match self.placed.ticket.notices.recv().await {
                Some(PlacementNotice::Granted(grant)) => return Ok(grant),
                Some(PlacementNotice::Rejected(kind) | PlacementNotice::Cancelled(kind)) => {
                    return Err(ServiceError::new(self.rejection_kind(kind), message));
                }
                Some(PlacementNotice::Preempted) => {}
                None => return Err(ServiceError::new(ErrorKind::Draining, message)),
            }
        }
    }

    /// Returns the error kind for a rejected generation. Once the caller has read tokens, it is
    /// `Interrupted`, except after a missed deadline.
    fn rejection_kind(&self, kind: ErrorKind) -> ErrorKind {
        if self.buffer.is_read() && kind != ErrorKind::DeadlineExceeded {
            return ErrorKind::Interrupted;
        }
        kind
    }

    /// Prepares the buffer for the next epoch and returns the forced prefix.
    async fn next_epoch(&mut self, message: &str) -> Result<Vec<u32>, ServiceError> {
        // Without a forced prefix, a new generation may produce other tokens. It can replace the
        // old one only if no caller has read any.
        if !self.placed.forced_prefix && !self.assembler.nothing_delivered() {
            if !self.buffer.clear_if_unread() {
                return self.give_up(message).await;
            }
            self.assembler = StreamAssembler::resumed(ResumePoint {
                generation: self.unique.clone(),
                epoch: self.epoch,
                next_index: 0,
            });
        }
        match self.assembler.begin_epoch() {
            Some(prefix) => {
                self.epoch += 1;
                Ok(prefix)
            }
            None => self.give_up(message).await,
        }
    }

    /// Returns whether another engine could continue the generation. One that can't move has its
    /// engine until its deadline, however slow that is.
    fn can_move(&self) -> bool {
        self.placed.forced_prefix || !self.buffer.is_read()
    }

    async fn give_up<T>(&self, message: &str) -> Result<T, ServiceError> {
        self.report_cancelled().await;
        Err(ServiceError::new(ErrorKind::Interrupted, message))
    }

    /// Reports the end of an attempt. Each end is reported, so that each one that the version may be
    /// the cause of counts.
    async fn report(&self, end: &AttemptEnd) {
        let report = match end {
            AttemptEnd::Finished(_) => AttemptReport::Finished {
                tokens: self.buffer.next_index() as u32,
                pace: self.pace(),
            },
            AttemptEnd::EngineLost => AttemptReport::Failed(AttemptFailure::ServerLost),
            AttemptEnd::NotSent => AttemptReport::Failed(AttemptFailure::NotSent),
            AttemptEnd::EngineFailed(_) | AttemptEnd::Stalled => {
                AttemptReport::Failed(AttemptFailure::Failed)
            }
            AttemptEnd::Refused(_) => AttemptReport::Failed(AttemptFailure::Refused),
            AttemptEnd::Cancelled(_) => AttemptReport::Cancelled(self.pace()),
            // The request goes on, here or at another VM.
            AttemptEnd::Preempted | AttemptEnd::Stopping => return,
        };
        self.context.control.report_attempt(self.placed.ticket.ticket, report).await;
    }

    async fn report_cancelled(&self) {
        let report = AttemptReport::Cancelled(self.pace());
        self.context.control.report_attempt(self.placed.ticket.ticket, report).await;
    }

    /// Returns the pace of the current attempt.
    fn pace(&self) -> AttemptPace {
        let Some((started_at, first_index)) = self.attempt else { return AttemptPace::default() };
        let gaps = (self.buffer.next_index() - first_index) as u32;
        let first_token = self.buffer.first_token_at().filter(|at| *at >= started_at);
        let begin = first_token.unwrap_or(started_at);
        AttemptPace {
            first_token: first_token.map(|at| at - started_at),
            token_gap: (gaps > 1).then(|| (self.last_token_at - begin) / (gaps - 1)),
        }
    }

    /// Runs one attempt on one engine, reconnecting as needed.
    async fn run_attempt(&mut self, grant: &PlacementGrant, prefix: Vec<u32>) -> AttemptEnd {
        let location =
            GenerationId::from_parts(grant.server.clone(), self.buffer.location().unique());
        self.buffer.relocate(location.clone());
        self.events.zone = self.context.servers.zone(&grant.server);
        let Some(engine) = self.context.servers.engine(&grant.server) else {
            return AttemptEnd::Refused("the backend server is not an engine".to_owned());
        };
        self.last_token_at = Instant::now();
        self.writing_since = None;
        self.engine_ended = false;
        self.hold = EngineHold::MayStart;
        let request = self.request(grant, &location, prefix);
        let start =
            tokio::time::timeout(self.context.limits.idle_timeout, engine.start(request)).await;
        match &start {
            Ok(Ok(_)) => self.hold = EngineHold::Started,
            Ok(Err(EngineError::Refused(_) | EngineError::Failed(_) | EngineError::NotSent)) => {
                self.hold = EngineHold::Absent;
            }
            Ok(Err(_)) | Err(_) => {}
        }
        let mut stream = match start {
            Ok(Ok(stream)) if self.is_other_instance(grant, stream.instance()) => {
                // The server has restarted and is cold, and this request did not take one of the
                // slots that limit requests to a cold server.
                let message = ControlMessage::InstanceChanged(grant.server.clone());
                self.context.control.send(message).await;
                return AttemptEnd::Refused("the backend server was restarted".to_owned());
            }
            Ok(Ok(stream)) => Some(stream),
            Ok(Err(EngineError::Refused(message))) => return AttemptEnd::Refused(message),
            Ok(Err(EngineError::Failed(message))) => return AttemptEnd::EngineFailed(message),
            Ok(Err(EngineError::NotSent)) => return AttemptEnd::NotSent,
            Ok(Err(_)) | Err(_) => None,
        };
        let mut reconnects = 0;
        loop {
            if let Some(open) = stream.take() {
                self.buffer.attach();
                let before = self.buffer.next_index();
                if let ReadEnd::Attempt(end) = self.read_stream(&location, open).await {
                    return end;
                }
                if self.buffer.next_index() > before {
                    reconnects = 0;
                }
            }
            if !self.buffer.detach() {
                return AttemptEnd::Stopping;
            }
            if reconnects >= self.context.limits.max_reconnects {
                return AttemptEnd::EngineLost;
            }
            reconnects += 1;
            tokio::time::sleep(RECONNECT_DELAY).await;
            match self.reconnect(&*engine, &location).await {
                Ok(open) => {
                    self.hold = EngineHold::Started;
                    stream = Some(open);
                }
                Err(EngineError::UnknownGeneration) => {
                    self.engine_ended = true;
                    if self.hold == EngineHold::Started {
                        self.hold = EngineHold::Absent;
                    }
                    return AttemptEnd::EngineLost;
                }
                Err(error) => self.engine_ended |= error == EngineError::NotSent,
            }
        }
    }

    /// Stops the generation at the engine of the current attempt before it goes on at another one. An
    /// engine that has not answered but is heard works on, so the generation waits.
    ///
    /// # Errors
    ///
    /// Returns the reason if the placement ends the generation meanwhile.
    async fn stop_before_move(&mut self) -> Result<(), ErrorKind> {
        self.stop_attempt().await;
        let location = self.buffer.location();
        let Some(engine) = self.context.servers.engine(location.server()) else { return Ok(()) };
        let silence = self.context.limits.idle_timeout;
        let mut is_logged = false;
        loop {
            let task = self.stops.get(location.server());
            if task.is_none_or(StopTask::is_settled) || !engine.is_heard(silence) {
                return Ok(());
            }
            if !std::mem::replace(&mut is_logged, true) {
                info!("stream: engine is heard, but has not answered; generation={location}");
            }
            tokio::select! {
                () = tokio::time::sleep(HEARD_INTERVAL) => {}
                notice = self.placed.ticket.notices.recv(), if self.early_grant.is_none() => {
                    match notice {
                        Some(PlacementNotice::Granted(grant)) => self.early_grant = Some(grant),
                        Some(PlacementNotice::Cancelled(kind) | PlacementNotice::Rejected(kind)) => {
                            return Err(kind);
                        }
                        Some(PlacementNotice::Preempted) => {}
                        None => return Err(ErrorKind::Draining),
                    }
                }
            }
        }
    }

    fn is_other_instance(&self, grant: &PlacementGrant, found: Option<ServerInstance>) -> bool {
        found.is_some_and(|instance| instance != grant.instance)
    }

    async fn reconnect(
        &self,
        engine: &dyn EngineClient,
        location: &GenerationId,
    ) -> Result<TokenStream, EngineError> {
        let next = self.buffer.next_index();
        self.context.metrics.reconnects.inc();
        info!("stream: reconnecting to the engine; generation={location} next={next}");
        let generation = location.to_string();
        let resume = engine.resume(&generation, next);
        match tokio::time::timeout(self.context.limits.idle_timeout, resume).await {
            Ok(result) => result,
            Err(_) => Err(EngineError::ConnectionLost),
        }
    }

    fn request(
        &self,
        grant: &PlacementGrant,
        location: &GenerationId,
        forced_prefix: Vec<u32>,
    ) -> GenerationRequest {
        GenerationRequest {
            generation: location.to_string(),
            epoch: self.epoch,
            model: self.spec.model.clone(),
            version: self.placed.version.clone(),
            prompt: self.spec.prompt.clone(),
            forced_prefix,
            max_tokens: self.spec.max_tokens,
            seed: self.spec.seed,
            priority: self.placed.priority,
            team: self.spec.team.clone(),
            route: self.spec.route.clone(),
            ordinal: Some(grant.ordinal.clone()),
        }
    }

    /// Reads one connection until it ends, times out, or the placement ends the attempt.
    async fn read_stream(&mut self, location: &GenerationId, mut stream: TokenStream) -> ReadEnd {
        let own = location.to_string();
        loop {
            let idle_deadline = Instant::now() + self.context.limits.idle_timeout;
            let event = tokio::select! {
                event = timeout_at(idle_deadline, stream.next()) => event,
                notice = self.placed.ticket.notices.recv() => match notice {
                    Some(PlacementNotice::Cancelled(kind) | PlacementNotice::Rejected(kind)) => {
                        return ReadEnd::Attempt(AttemptEnd::Cancelled(kind));
                    }
                    Some(PlacementNotice::Preempted) => {
                        return ReadEnd::Attempt(AttemptEnd::Preempted);
                    }
                    Some(PlacementNotice::Granted(_)) => continue,
                    None => return ReadEnd::Attempt(AttemptEnd::Stopping),
                },
            };
            let event = match event {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(EngineError::UnknownGeneration))) => {
                    return ReadEnd::Attempt(AttemptEnd::EngineLost);
                }
                Ok(Some(Err(EngineError::Failed(message)))) => {
                    return ReadEnd::Attempt(AttemptEnd::EngineFailed(message));
                }
                Ok(Some(Err(_)) | None) | Err(_) => return ReadEnd::Reconnect,
            };
            if let Some(end) = self.apply(&own, event) {
                return end;
            }
            let is_stalled = self.last_token_at.elapsed() > self.context.limits.progress_timeout;
            if is_stalled && self.can_move() {
                return ReadEnd::Attempt(AttemptEnd::Stalled);
            }
        }
    }

    /// Applies one event. Returns `None` to continue reading.
    fn apply(&mut self, own: &str, event: StreamEvent) -> Option<ReadEnd> {
        match event {
            StreamEvent::Token { generation, epoch, index, id, text } => {
                if generation != own {
                    return Some(ReadEnd::Reconnect);
                }
                match self.assembler.accept_token(&self.unique, epoch, index, id) {
                    TokenDecision::Deliver => self.deliver(&text),
                    TokenDecision::Duplicate => {}
                    _ => return Some(ReadEnd::Reconnect),
                }
                None
            }
            StreamEvent::Heartbeat { generation } => {
                (generation != own).then_some(ReadEnd::Reconnect)
            }
            StreamEvent::Finished { generation, epoch, reason, count } => {
                if generation != own {
                    return Some(ReadEnd::Reconnect);
                }
                match self.assembler.accept_finish(&self.unique, epoch, count) {
                    // The output of a cancelled generation is incomplete.
                    TokenDecision::Deliver if reason == FinishReason::Cancelled => {
                        Some(ReadEnd::Attempt(AttemptEnd::Stalled))
                    }
                    TokenDecision::Deliver => Some(ReadEnd::Attempt(AttemptEnd::Finished(reason))),
                    _ => Some(ReadEnd::Reconnect),
                }
            }
            StreamEvent::Failed { generation, message } => {
                if generation != own {
                    return Some(ReadEnd::Reconnect);
                }
                Some(ReadEnd::Attempt(AttemptEnd::EngineFailed(message)))
            }
        }
    }

    fn deliver(&mut self, text: &str) {
        self.buffer.push(text);
        let now = Instant::now();
        let gap = now - self.last_token_at;
        self.last_token_at = now;
        let writing_since = *self.writing_since.get_or_insert(now);
        if !self.is_proven && now - writing_since >= WRITING_PROOF {
            self.is_proven = true;
            self.context.crashes.note_sound(&self.parts);
        }
        self.context.metrics.tokens.inc();
        let next = self.buffer.next_index();
        if next == 1 {
            let span = self.accepted_at.elapsed();
            self.context.metrics.first_token.observe(span.as_secs_f64());
            self.events.first_token(span);
        } else {
            self.events.token_gap(gap);
        }
        if next == 1 || next.is_multiple_of(PROGRESS_STEP) {
            self.context.control.progress(self.placed.ticket.ticket, next);
        }
    }
}
