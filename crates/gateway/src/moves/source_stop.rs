//! Stops a generation at its engine after its response was lost.
//!
//! An engine that works on may not notice that the connection has closed, so it is told before the
//! generation goes on elsewhere. The only call that stops a generation is the final copy of its
//! memory, which stops it first.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{sync::oneshot, time::Instant};
use tracing::info;

use crate::{
    ConnectionError, CopyResponse, GatewayContext,
    moves::{SourceState, StoppedSource},
};

/// Time after which a generation goes on elsewhere although its engine has not answered. An engine
/// that got the call stops the generation before it copies the memory.
const UNREACHED_WAIT: Duration = Duration::from_millis(250);
/// The same if the engine has answered, but not that the generation is stopped.
const UNCLEAR_WAIT: Duration = Duration::from_millis(1_800);
/// Timeout of the connection for one call. An engine that can be reached again must be told within
/// the 400 ms for which two engines may work on a generation.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of one call. The answer comes when the memory is copied.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Pause after the first call. It doubles with each further one.
const FIRST_CALL_PAUSE: Duration = Duration::from_millis(25);
/// Longest pause between two calls.
const LONGEST_CALL_PAUSE: Duration = Duration::from_millis(200);

/// Stop of a generation at its engine.
pub(crate) struct SourceStop {
    /// Shared state of the gateway.
    pub(crate) context: Arc<GatewayContext>,
    /// Attempt of the generation.
    pub(crate) attempt: String,
    /// Engine that is told to stop.
    pub(crate) source: SocketAddr,
    /// ID of this engine.
    pub(crate) source_id: String,
    /// Engine to which the memory is copied.
    pub(crate) target: SocketAddr,
    /// Time at which the engine ends the generation by itself.
    pub(crate) deadline: Instant,
}

/// Answer that shows that a generation does not run at its engine.
struct StopAnswer {
    state: SourceState,
    copy: Option<CopyResponse>,
}

impl StopAnswer {
    /// Returns the copy that the engine retains.
    fn handle(self) -> Option<String> {
        match self.copy? {
            CopyResponse::Copied { handle } => Some(handle),
            CopyResponse::NoRoom { handle } => handle,
            CopyResponse::Unknown | CopyResponse::Busy => None,
        }
    }
}

/// Stop that is in progress.
pub(crate) struct PendingStop {
    context: Arc<GatewayContext>,
    receiver: oneshot::Receiver<StopAnswer>,
    has_answered: Arc<AtomicBool>,
}

impl SourceStop {
    /// Tells the engine, again and again until its answer shows that it does not run the generation,
    /// also after nobody waits for it any more.
    pub(crate) fn start(self) -> PendingStop {
        let (sender, receiver) = oneshot::channel();
        let has_answered = Arc::new(AtomicBool::new(false));
        let context = Arc::clone(&self.context);
        tokio::spawn(self.run(sender, Arc::clone(&has_answered)));
        PendingStop { context, receiver, has_answered }
    }

    async fn run(self, sender: oneshot::Sender<StopAnswer>, has_answered: Arc<AtomicBool>) {
        let mut pause = FIRST_CALL_PAUSE;
        let mut calls = 0;
        while Instant::now() < self.deadline {
            calls += 1;
            let Some(answer) = self.call(calls, &has_answered).await else {
                tokio::time::sleep(pause).await;
                pause = LONGEST_CALL_PAUSE.min(pause * 2);
                continue;
            };
            // If nobody waits any more, the generation went on without the copy.
            if let Err(answer) = sender.send(answer)
                && let Some(handle) = answer.handle()
            {
                release(&self.context, &self.attempt, &handle, self.source).await;
            }
            return;
        }
        info!(id = self.attempt, source = self.source_id, calls, "move: source never told");
    }

    /// Tells the engine once. Returns its answer if it shows that the generation does not run there.
    async fn call(&self, number: u32, has_answered: &AtomicBool) -> Option<StopAnswer> {
        let protocol = &self.context.engine_protocol;
        let call = protocol.copy_call(&self.attempt, self.target, true);
        let response = call.send_within(self.source, CONNECT_TIMEOUT, CALL_TIMEOUT).await;
        let (copy, error) = match response {
            Ok((status, body)) => {
                has_answered.store(true, Ordering::Release);
                (protocol.decode_copy(status, &body), None)
            }
            Err(error) => (None, Some(error)),
        };
        let state = match (&copy, error) {
            (_, Some(ConnectionError::NotListening)) => Some(SourceState::Exited),
            (Some(copy), _) => SourceState::after_final_copy(copy),
            (None, _) => None,
        };
        // An engine that stays out of reach is called for as long as the request may run.
        if state.is_some() || number == 1 {
            info!(
                id = self.attempt,
                source = self.source_id,
                number,
                ?copy,
                error = error.map(<&str>::from),
                "move: source told to stop"
            );
        }
        let state = state?;
        Some(StopAnswer { state, copy })
    }
}

impl PendingStop {
    /// Waits until the engine has stopped the generation, or has not answered for too long. Returns
    /// the proof and, if it has answered, the response; `None` if the generation may still run at an
    /// engine that can be reached.
    pub(crate) async fn wait(mut self) -> Option<(StoppedSource, Option<CopyResponse>)> {
        let mut answer = tokio::time::timeout(UNREACHED_WAIT, &mut self.receiver).await;
        if answer.is_err() && self.has_answered.load(Ordering::Acquire) {
            let rest = UNCLEAR_WAIT.saturating_sub(UNREACHED_WAIT);
            answer = tokio::time::timeout(rest, &mut self.receiver).await;
        }
        if let Ok(Ok(StopAnswer { state, copy })) = answer {
            return Some((StoppedSource::new(&self.context, state), copy));
        }
        let is_unreached = !self.has_answered.load(Ordering::Acquire);
        is_unreached.then(|| (StoppedSource::new(&self.context, SourceState::Unreached), None))
    }
}

/// Frees a copy of a generation's memory at the engine that made it.
pub(crate) async fn release(
    context: &GatewayContext,
    attempt: &str,
    handle: &str,
    source: SocketAddr,
) {
    let call = context.engine_protocol.release_call(handle);
    if let Err(error) = call.send(source, CALL_TIMEOUT).await {
        info!(id = attempt, handle, error = <&str>::from(error), "move: copy not freed");
    }
}
