//! Stops a generation at its engine after its response was lost.
//!
//! An engine that works on may not notice that the connection has closed, so it is told before the
//! generation goes on elsewhere. The only call that stops a generation is the final copy of its
//! memory, which stops it first and retains the memory until it is freed.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};
use tracing::info;

use crate::{
    ConnectionError, GatewayContext, HttpCall, ServerConnection, ServerKey,
    moves::{SourceState, StopAnswer, StopProgress, StoppedSource},
};

/// Time after which a generation goes on elsewhere although its engine has not answered. An engine
/// that got the call stops the generation before it copies the memory.
const UNREACHED_WAIT: Duration = Duration::from_millis(250);
/// Maximum time to wait for an engine that has answered, but not that the generation is stopped, and
/// for the memory that an engine retains.
const ANSWER_WAIT: Duration = Duration::from_millis(1_800);
/// Timeout of the connection for one call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of one call. The answer comes when the memory is copied.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time from the first call to the second one. It doubles with each further call.
const FIRST_CALL_PAUSE: Duration = Duration::from_millis(25);
/// Longest time between two calls: an engine that can be reached again must be told within the
/// 400 ms for which two engines may work on a generation, even if earlier calls are lost on their
/// connections.
const LONGEST_CALL_PAUSE: Duration = Duration::from_millis(200);
/// Number of calls that may be waited for at the same time.
const OPEN_CALLS: usize = 16;

/// Stop of a generation at its engine. The engine is told again and again until its answer shows that
/// it does not run the generation, also after the stream has ended or went on elsewhere.
#[derive(Debug, Clone)]
pub(crate) struct SourceStop {
    progress: watch::Receiver<StopProgress>,
    is_wanted: Arc<AtomicBool>,
    is_used: Arc<AtomicBool>,
}

/// Calls of a stop.
pub(crate) struct StopCalls {
    /// Shared state of the gateway.
    pub(crate) context: Arc<GatewayContext>,
    /// Attempt of the generation.
    pub(crate) attempt: String,
    /// Key, ID and address of the engine that is told to stop.
    pub(crate) server: ServerKey,
    /// ID of this engine.
    pub(crate) source_id: String,
    /// Address of this engine.
    pub(crate) source: SocketAddr,
    /// Engine to which the memory is copied.
    pub(crate) target: SocketAddr,
    /// Time at which the engine ends the generation by itself.
    pub(crate) deadline: Instant,
}

/// What happens in a call.
enum CallEvent {
    Connected,
    /// The call ended; `was_connected` tells whether it had a connection.
    Ended {
        was_connected: bool,
        is_unclear: bool,
        answer: Option<StopAnswer>,
    },
}

impl SourceStop {
    /// Starts to tell the engine.
    pub(crate) fn start(calls: StopCalls) -> SourceStop {
        let (sender, progress) = watch::channel(StopProgress::default());
        let stop = SourceStop {
            progress,
            is_wanted: Arc::new(AtomicBool::new(true)),
            is_used: Arc::default(),
        };
        let (is_wanted, is_used) = (Arc::clone(&stop.is_wanted), Arc::clone(&stop.is_used));
        tokio::spawn(async move {
            calls.run(&sender, &is_wanted).await;
            // The generation may still go on from the retained memory.
            sender.closed().await;
            let handle = sender.borrow().retained().map(str::to_owned);
            if let Some(handle) = handle.filter(|_| !is_used.load(Ordering::Acquire)) {
                release(&calls.context, &calls.attempt, &handle, calls.source).await;
            }
        });
        stop
    }

    /// Waits until the engine has stopped the generation, or has not answered for too long. Returns
    /// `None` if the generation may still run at an engine that can be reached.
    pub(crate) async fn wait_stopped(&self, context: &GatewayContext) -> Option<StoppedSource> {
        self.is_wanted.store(true, Ordering::Release);
        self.wait_for(UNREACHED_WAIT, |progress| progress.answer.is_some()).await;
        if self.progress.borrow().is_unclear {
            self.wait_for(ANSWER_WAIT, |progress| {
                progress.answer.is_some() || !progress.is_unclear
            })
            .await;
        }
        let progress = self.progress.borrow();
        let state = match &progress.answer {
            Some(answer) => answer.state,
            None if progress.is_unclear => return None,
            None => SourceState::Unreached,
        };
        Some(StoppedSource::new(context, state))
    }

    /// Returns the answer that shows that the generation does not run, if there is one.
    pub(crate) fn answer(&self) -> Option<StopAnswer> {
        self.progress.borrow().answer.clone()
    }

    /// Waits for the calls that are connected, and returns the handle of the memory that the engine
    /// retains.
    pub(crate) async fn wait_retained(&self) -> Option<String> {
        self.wait_for(ANSWER_WAIT, StopProgress::is_settled).await;
        self.progress.borrow().retained().map(str::to_owned)
    }

    /// Records that the generation goes on from the retained memory, which is not freed then.
    pub(crate) fn note_used(&self) {
        self.is_used.store(true, Ordering::Release);
    }

    /// Makes no further calls for now, since the generation goes on at its engine.
    pub(crate) fn suspend(&self) {
        self.is_wanted.store(false, Ordering::Release);
    }

    async fn wait_for(&self, limit: Duration, is_reached: impl FnMut(&StopProgress) -> bool) {
        let mut progress = self.progress.clone();
        // Ends early if no more calls are made.
        drop(tokio::time::timeout(limit, progress.wait_for(is_reached)).await);
    }
}

impl StopCalls {
    async fn run(&self, progress: &watch::Sender<StopProgress>, is_wanted: &AtomicBool) {
        let (sender, mut events) = mpsc::channel(OPEN_CALLS);
        let mut number = 0;
        let mut pause = FIRST_CALL_PAUSE;
        let mut next_call = Instant::now();
        loop {
            let is_answered = progress.borrow().answer.is_some();
            if is_answered && progress.borrow().is_settled() {
                return;
            }
            tokio::select! {
                Some(event) = events.recv() => note_event(progress, event),
                () = tokio::time::sleep_until(next_call) => {
                    next_call = Instant::now() + pause;
                    pause = LONGEST_CALL_PAUSE.min(pause * 2);
                    let is_wanted = is_wanted.load(Ordering::Acquire);
                    if !is_wanted && progress.is_closed() {
                        return;
                    }
                    if is_answered || !is_wanted || sender.strong_count() > OPEN_CALLS {
                        continue;
                    }
                    if Instant::now() >= self.deadline || !self.is_known() {
                        info!(id = self.attempt, source = self.source_id, number,
                            "move: source never told");
                        return;
                    }
                    number += 1;
                    self.spawn_call(number, sender.clone());
                }
            }
        }
    }

    /// Returns whether the engine is registered. An engine that has been silent for several intervals
    /// is not.
    fn is_known(&self) -> bool {
        self.context.view().server(self.server).is_some()
    }

    fn spawn_call(&self, number: u32, events: mpsc::Sender<CallEvent>) {
        let protocol = &self.context.engine_protocol;
        let call = protocol.copy_call(&self.attempt, self.target, true);
        let (context, attempt) = (Arc::clone(&self.context), self.attempt.clone());
        let (source, source_id) = (self.source, self.source_id.clone());
        tokio::spawn(async move {
            let (copy, error, was_connected) = match connect(&context, source).await {
                Ok(connection) => {
                    // The receiver ends only after all calls or with an answer.
                    drop(events.send(CallEvent::Connected).await);
                    let response = call.send_on(connection, source, CALL_TIMEOUT).await;
                    let copy = response
                        .as_ref()
                        .map(|(status, body)| context.engine_protocol.decode_copy(*status, body));
                    match copy {
                        Ok(copy) => (copy, None, true),
                        Err(error) => (None, Some(*error), true),
                    }
                }
                Err(error) => (None, Some(error), false),
            };
            let state = match (&copy, error) {
                (_, Some(ConnectionError::NotListening)) => Some(SourceState::Exited),
                (Some(copy), _) => SourceState::after_final_copy(copy),
                (None, _) => None,
            };
            // An engine that stays out of reach is called as long as the request may run.
            if state.is_some() || number == 1 {
                info!(
                    id = attempt,
                    source = source_id,
                    number,
                    ?copy,
                    error = error.map(<&str>::from),
                    "move: source told to stop"
                );
            }
            let is_unclear = state.is_none() && error.is_none();
            let answer = state.map(|state| StopAnswer { state, copy, is_first: number == 1 });
            let handle = answer.as_ref().and_then(StopAnswer::handle).map(str::to_owned);
            let event = CallEvent::Ended { was_connected, is_unclear, answer };
            if events.send(event).await.is_err()
                && let Some(handle) = handle
            {
                release(&context, &attempt, &handle, source).await;
            }
        });
    }
}

async fn connect(
    context: &GatewayContext,
    source: SocketAddr,
) -> Result<ServerConnection, ConnectionError> {
    let connecting = ServerConnection::connect(source);
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .unwrap_or(Err(ConnectionError::Unreachable))?;
    context.metrics.connections.inc();
    Ok(connection)
}

fn note_event(progress: &watch::Sender<StopProgress>, event: CallEvent) {
    progress.send_modify(|progress| match event {
        CallEvent::Connected => progress.open += 1,
        CallEvent::Ended { was_connected, is_unclear, answer } => {
            progress.open -= u32::from(was_connected);
            progress.is_unclear = is_unclear;
            if let Some(answer) = answer {
                progress.note_answer(answer);
            }
        }
    });
}

/// Frees a copy of a generation's memory at the engine that made it.
pub(crate) async fn release(
    context: &GatewayContext,
    attempt: &str,
    handle: &str,
    source: SocketAddr,
) {
    let call: HttpCall = context.engine_protocol.release_call(handle);
    if let Err(error) = call.send(source, CALL_TIMEOUT).await {
        info!(id = attempt, handle, error = <&str>::from(error), "move: copy not freed");
    }
}
