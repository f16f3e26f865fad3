//! Resumes a stream that was started through another entry VM.

use std::{sync::Arc, time::Duration};

use dragonflycart_core::{ErrorKind, GenerationId, ServiceError};
use dragonflycart_engine::{EngineClient, EngineError, FinishReason, StreamEvent, TokenStream};
use futures::StreamExt;
use log::warn;
use tokio::time::{Instant, timeout_at};

use crate::generation::{GenerationBuffer, GenerationEnd, RunnerContext};

/// Delay before reconnecting to an engine after a connection failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Resumes a stream at the engine that runs the generation. This VM does not have the prompt and so
/// can't move the generation to another engine: if the engine is lost, the stream ends.
pub(crate) struct StreamResumer {
    context: RunnerContext,
}

impl StreamResumer {
    /// Builds a resumer.
    pub(crate) fn new(context: RunnerContext) -> StreamResumer {
        StreamResumer { context }
    }

    /// Opens the stream at token `next` and fills the returned buffer in a background task.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] if the engine does not know the generation,
    /// [`ErrorKind::NoBackend`] if it can't be reached.
    pub(crate) async fn resume(
        self,
        id: &GenerationId,
        next: u64,
    ) -> Result<Arc<GenerationBuffer>, ServiceError> {
        let Some(engine) = self.context.servers.engine(id.server()) else {
            let message = format!("generation {id}: no such backend server");
            return Err(ServiceError::new(ErrorKind::NotFound, message));
        };
        let stream = match self.open(&*engine, id, next).await {
            Ok(stream) => stream,
            Err(EngineError::UnknownGeneration) => {
                let message = format!("generation {id}: the backend server does not know it");
                return Err(ServiceError::new(ErrorKind::NotFound, message));
            }
            Err(error) => {
                let message = format!("generation {id}: {error}");
                return Err(ServiceError::new(ErrorKind::NoBackend, message));
            }
        };
        let buffer = Arc::new(GenerationBuffer::new(id.clone(), next));
        // Another VM can do as much as this one for a lost engine.
        buffer.attach();
        tokio::spawn(self.fill(engine, id.clone(), stream, Arc::clone(&buffer)));
        Ok(buffer)
    }

    async fn open(
        &self,
        engine: &dyn EngineClient,
        id: &GenerationId,
        next: u64,
    ) -> Result<TokenStream, EngineError> {
        let generation = id.to_string();
        let resume = engine.resume(&generation, next);
        match tokio::time::timeout(self.context.limits.idle_timeout, resume).await {
            Ok(result) => result,
            Err(_) => Err(EngineError::ConnectionLost),
        }
    }

    async fn fill(
        self,
        engine: Arc<dyn EngineClient>,
        id: GenerationId,
        stream: TokenStream,
        buffer: Arc<GenerationBuffer>,
    ) {
        let mut stream = Some(stream);
        let mut reconnects = 0;
        let mut token_at = Instant::now();
        loop {
            if let Some(open) = stream.take() {
                let before = buffer.next_index();
                if Arc::strong_count(&buffer) == 1 {
                    // The caller has disconnected. The engine continues the generation.
                    return;
                }
                if let Some(end) = self.read(open, &id, &buffer, &mut token_at).await {
                    buffer.finish(end);
                    return;
                }
                if buffer.next_index() > before {
                    reconnects = 0;
                }
            }
            if reconnects >= self.context.limits.max_reconnects {
                buffer.finish(interrupted("the backend server can't be reached"));
                return;
            }
            reconnects += 1;
            tokio::time::sleep(RECONNECT_DELAY).await;
            match self.open(&*engine, &id, buffer.next_index()).await {
                Ok(open) => stream = Some(open),
                Err(EngineError::UnknownGeneration) => {
                    buffer.finish(interrupted("the backend server lost the generation"));
                    return;
                }
                Err(_) => {}
            }
        }
    }

    /// Reads one connection. Returns `None` if a new connection is needed. The engine client has
    /// already checked the generation and the index of each event. `token_at` is the time of the
    /// last token on any connection; heartbeats do not show that the generation proceeds.
    async fn read(
        &self,
        mut stream: TokenStream,
        id: &GenerationId,
        buffer: &Arc<GenerationBuffer>,
        token_at: &mut Instant,
    ) -> Option<GenerationEnd> {
        let own = id.to_string();
        loop {
            if Arc::strong_count(buffer) == 1 {
                return None;
            }
            let idle_deadline = Instant::now() + self.context.limits.idle_timeout;
            match timeout_at(idle_deadline, stream.next()).await.ok()??.ok()? {
                StreamEvent::Token { generation, index, text, .. } => {
                    if generation != own || index > buffer.next_index() {
                        return None;
                    }
                    if index == buffer.next_index() {
                        buffer.push(&text);
                        *token_at = Instant::now();
                    }
                }
                StreamEvent::Heartbeat { .. } => {}
                // The output of a cancelled generation is incomplete.
                StreamEvent::Finished { reason: FinishReason::Cancelled, .. } => {
                    return Some(interrupted("the generation was cancelled"));
                }
                StreamEvent::Finished { reason, count, .. } => {
                    if count != buffer.next_index() {
                        return None;
                    }
                    return Some(GenerationEnd::Finished { reason });
                }
                StreamEvent::Failed { message, .. } => return Some(interrupted(&message)),
            }
            if token_at.elapsed() > self.context.limits.progress_timeout {
                warn!("stream: engine makes no progress; generation={id}");
                return Some(interrupted("the backend server made no progress"));
            }
        }
    }
}

fn interrupted(message: &str) -> GenerationEnd {
    GenerationEnd::Failed(ServiceError::new(ErrorKind::Interrupted, message))
}
