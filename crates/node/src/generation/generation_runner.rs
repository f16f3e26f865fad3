//! Runs one generation to its end, over as many connections and backend servers as it takes.
//!
//! A connection that goes silent is replaced by a new one to the same engine at the next index.
//! When the engine has lost the generation, it continues on another engine of the same model
//! version, with the received tokens as a forced prefix and a higher epoch. Tokens of an old epoch
//! or with an unexpected index never reach the buffer.

use std::{sync::Arc, time::Duration};

use dragonflycart_core::{ErrorKind, GenerationId, ServerName, ServiceError, VersionName};
use dragonflycart_engine::{
    EngineClient, EngineError, FinishReason, GenerationRequest, StreamEvent, TokenStream,
};
use dragonflycart_state::{AssemblerVerdict, StreamAssembler};
use futures::StreamExt;
use log::{info, warn};
use tokio::time::{Instant, timeout_at};

use crate::{
    control::{AttemptOutcome, ControlHandle, PlacementAsk, PlacementGrant},
    generation::{GenerationBuffer, GenerationEnd, GenerationSpec},
};

/// Tokens after which progress is reported to the control thread.
const PROGRESS_STEP: u64 = 16;
/// Pause before a new connection to an engine whose connection just failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Backend servers that may fail during one generation. A request that was running when two
/// servers failed is a suspect and is not tried on a third.
const SERVER_FAILURE_LIMIT: u32 = 2;

/// Bounds on waiting for an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunnerLimits {
    /// Longest time without any event before the connection is replaced.
    pub(crate) silence: Duration,
    /// Longest time without a token before the generation continues elsewhere.
    pub(crate) progress: Duration,
    /// New connections to one engine without a token in between.
    pub(crate) reconnects: u32,
}

/// How an attempt on one engine ended.
enum AttemptEnd {
    Finished(FinishReason),
    /// The engine lost the generation or can't be reached.
    EngineLost,
    /// The engine failed the generation, for example because the version is bad.
    EngineFailed(String),
    /// No token for too long although the engine answers.
    Stalled,
    /// The engine refused the request without running it.
    Refused(String),
}

/// Runs one generation and fills its buffer.
pub(crate) struct GenerationRunner {
    control: ControlHandle,
    buffer: Arc<GenerationBuffer>,
    spec: GenerationSpec,
    limits: RunnerLimits,
    assembler: StreamAssembler,
    failed_servers: Vec<ServerName>,
    unreported_tokens: u64,
    first_token_at: Option<Instant>,
    started_at: Instant,
}

impl GenerationRunner {
    /// Builds the runner of a generation whose first placement is `grant`.
    pub(crate) fn new(
        control: ControlHandle,
        buffer: Arc<GenerationBuffer>,
        spec: GenerationSpec,
        limits: RunnerLimits,
    ) -> GenerationRunner {
        let assembler = StreamAssembler::new(buffer.location().unique(), buffer.base());
        GenerationRunner {
            control,
            buffer,
            spec,
            limits,
            assembler,
            failed_servers: Vec::new(),
            unreported_tokens: 0,
            first_token_at: None,
            started_at: Instant::now(),
        }
    }

    /// Runs the generation to its end, starting with a placement that was already granted.
    pub(crate) async fn run(mut self, grant: PlacementGrant) {
        let id = self.buffer.location();
        let end = match self.run_attempts(grant).await {
            Ok(reason) => GenerationEnd::Finished { reason },
            Err(error) => {
                warn!("stream: generation failed; generation={id} kind={}", error.kind());
                GenerationEnd::Failed(error)
            }
        };
        self.buffer.finish(end);
    }

    async fn run_attempts(&mut self, grant: PlacementGrant) -> Result<FinishReason, ServiceError> {
        let mut grant = grant;
        loop {
            let end = self.run_attempt(&grant).await;
            let outcome = self.outcome(&end);
            self.control.finish(grant.ticket, outcome);
            let message = match end {
                AttemptEnd::Finished(reason) => return Ok(reason),
                AttemptEnd::EngineLost => "the backend server lost the generation".to_owned(),
                AttemptEnd::EngineFailed(message) | AttemptEnd::Refused(message) => message,
                AttemptEnd::Stalled => "the backend server made no progress".to_owned(),
            };
            self.failed_servers.push(grant.server.clone());
            if self.failed_servers.len() as u32 >= SERVER_FAILURE_LIMIT + 1 {
                return Err(self.lost(&message));
            }
            info!(
                "stream: continuing on another backend server; generation={} failed={} next={}",
                self.buffer.location(),
                grant.server,
                self.buffer.next_index(),
            );
            grant = self.place_again(&grant.version, grant.forced_prefix, &message).await?;
        }
    }

    fn outcome(&self, end: &AttemptEnd) -> AttemptOutcome {
        let tokens = self.buffer.next_index() - self.buffer.base();
        match end {
            AttemptEnd::Finished(_) => AttemptOutcome::Finished {
                tokens,
                first_token: self.first_token_at.map(|at| at - self.started_at),
                total: self.started_at.elapsed(),
            },
            AttemptEnd::EngineLost => AttemptOutcome::ServerLost,
            AttemptEnd::EngineFailed(_) => AttemptOutcome::VersionFailed,
            AttemptEnd::Stalled => AttemptOutcome::Stalled,
            AttemptEnd::Refused(_) => AttemptOutcome::Refused,
        }
    }

    /// Asks for another server of the same version, and prepares the buffer for it.
    async fn place_again(
        &mut self,
        version: &VersionName,
        forced_prefix: bool,
        message: &str,
    ) -> Result<PlacementGrant, ServiceError> {
        let has_tokens = self.buffer.next_index() > 0;
        // Without a forced prefix the only safe way on is a new generation that replaces one
        // whose tokens nobody has seen.
        let restarts = has_tokens && !forced_prefix;
        if restarts && (self.buffer.base() > 0 || !self.buffer.restart()) {
            return Err(self.lost(message));
        }
        if restarts {
            self.assembler = StreamAssembler::new(self.buffer.location().unique(), 0);
        }
        let ask = PlacementAsk {
            spec: self.spec.clone(),
            pinned_version: has_tokens.then(|| version.clone()),
            excluded: self.failed_servers.clone(),
            generated: self.buffer.next_index() as u32,
            retry: true,
        };
        match self.control.place(ask).await {
            Ok(grant) => Ok(grant),
            Err(error) if !has_tokens => Err(error),
            Err(_) => Err(self.lost(message)),
        }
    }

    fn lost(&self, message: &str) -> ServiceError {
        let kind = if self.buffer.next_index() == 0 {
            ErrorKind::BackendFailed
        } else {
            ErrorKind::Interrupted
        };
        ServiceError::new(kind, message)
    }

    /// Runs one attempt on one engine, over as many connections as it takes.
    async fn run_attempt(&mut self, grant: &PlacementGrant) -> AttemptEnd {
        let location =
            GenerationId::from_parts(grant.server.clone(), self.buffer.location().unique());
        self.buffer.relocate(location.clone());
        let epoch = self.assembler.begin_epoch();
        let engine = Arc::clone(&grant.engine);
        let start = engine.start(self.request(grant, &location, epoch));
        let mut stream = match tokio::time::timeout(self.limits.silence, start).await {
            Ok(Ok(stream)) => Some(stream),
            Ok(Err(EngineError::Refused(message))) => return AttemptEnd::Refused(message),
            Ok(Err(EngineError::Failed(message))) => return AttemptEnd::EngineFailed(message),
            Ok(Err(EngineError::NotSent)) => return AttemptEnd::EngineLost,
            Ok(Err(_)) | Err(_) => None,
        };
        let mut reconnects = 0;
        let mut last_token_at = Instant::now();
        loop {
            if let Some(open) = stream.take() {
                let before = self.buffer.next_index();
                if let Some(end) = self.read_stream(grant, open, &mut last_token_at).await {
                    if matches!(end, AttemptEnd::Stalled) {
                        self.cancel(&*engine, &location).await;
                    }
                    return end;
                }
                if self.buffer.next_index() > before {
                    reconnects = 0;
                }
            }
            if reconnects >= self.limits.reconnects {
                self.cancel(&*engine, &location).await;
                return AttemptEnd::EngineLost;
            }
            reconnects += 1;
            tokio::time::sleep(RECONNECT_DELAY).await;
            match self.reconnect(&*engine, &location).await {
                Ok(open) => stream = Some(open),
                Err(EngineError::UnknownGeneration) => return AttemptEnd::EngineLost,
                Err(_) => {}
            }
        }
    }

    /// Cancels a generation that is given up, so that it does not use the engine any longer. A
    /// failure is ignored: the epoch keeps late tokens out, and the engine may be gone anyway.
    async fn cancel(&self, engine: &dyn EngineClient, location: &GenerationId) {
        let generation = location.to_string();
        let _ = tokio::time::timeout(self.limits.silence, engine.cancel(&generation)).await;
    }

    async fn reconnect(
        &self,
        engine: &dyn EngineClient,
        location: &GenerationId,
    ) -> Result<TokenStream, EngineError> {
        let next = self.buffer.next_index();
        info!("stream: opening a new connection; generation={location} next={next}");
        let resume = engine.resume(&location.to_string(), next);
        match tokio::time::timeout(self.limits.silence, resume).await {
            Ok(result) => result,
            Err(_) => Err(EngineError::ConnectionLost),
        }
    }

    fn request(
        &self,
        grant: &PlacementGrant,
        location: &GenerationId,
        epoch: u32,
    ) -> GenerationRequest {
        let (_, forced_prefix) = self.buffer.token_ids();
        GenerationRequest {
            generation: location.to_string(),
            epoch,
            model: self.spec.model.clone(),
            version: grant.version.clone(),
            prompt: self.spec.prompt.clone(),
            forced_prefix,
            max_tokens: self.spec.max_tokens,
            seed: self.spec.seed,
            priority: grant.priority,
            team: self.spec.team.clone(),
            route: self.spec.route.clone(),
            seat: grant.seat.clone(),
        }
    }

    /// Reads one connection. Returns `None` if the connection is to be replaced.
    async fn read_stream(
        &mut self,
        grant: &PlacementGrant,
        mut stream: TokenStream,
        last_token_at: &mut Instant,
    ) -> Option<AttemptEnd> {
        loop {
            let silence_ends = Instant::now() + self.limits.silence;
            let event = match timeout_at(silence_ends, stream.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(EngineError::UnknownGeneration))) => {
                    return Some(AttemptEnd::EngineLost);
                }
                Ok(Some(Err(EngineError::Failed(message)))) => {
                    return Some(AttemptEnd::EngineFailed(message));
                }
                Ok(Some(Err(_)) | None) | Err(_) => return None,
            };
            if let Some(end) = self.apply(grant, event, last_token_at) {
                return end;
            }
            if last_token_at.elapsed() > self.limits.progress {
                return Some(AttemptEnd::Stalled);
            }
        }
    }

    /// Applies one event. Returns `Some(None)` if the connection is to be replaced and
    /// `Some(Some(end))` if the attempt ended.
    fn apply(
        &mut self,
        grant: &PlacementGrant,
        event: StreamEvent,
        last_token_at: &mut Instant,
    ) -> Option<Option<AttemptEnd>> {
        let own = self.buffer.location().to_string();
        match event {
            StreamEvent::Token { generation, epoch, index, id, text } => {
                if generation != own {
                    return Some(None);
                }
                match self.assembler.accept_token(epoch, index) {
                    AssemblerVerdict::Accepted => {}
                    AssemblerVerdict::Duplicate => return None,
                    AssemblerVerdict::Rejected => return Some(None),
                }
                self.buffer.push(id, &text);
                *last_token_at = Instant::now();
                self.first_token_at.get_or_insert(*last_token_at);
                self.note_token(grant);
                None
            }
            StreamEvent::Heartbeat { generation } => (generation != own).then_some(None),
            StreamEvent::Finished { generation, epoch, reason, count } => {
                if generation != own || !self.assembler.accept_finish(epoch, count) {
                    return Some(None);
                }
                Some(Some(AttemptEnd::Finished(reason)))
            }
            StreamEvent::Failed { generation, message } => {
                if generation != own {
                    return Some(None);
                }
                Some(Some(AttemptEnd::EngineFailed(message)))
            }
        }
    }

    fn note_token(&mut self, grant: &PlacementGrant) {
        self.unreported_tokens += 1;
        if self.unreported_tokens < PROGRESS_STEP && self.buffer.next_index() != 1 {
            return;
        }
        self.control.progress(grant.ticket, self.buffer.next_index());
        self.unreported_tokens = 0;
    }
}
