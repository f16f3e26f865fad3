//! Calls that tell an engine to stop a generation.

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
    ConnectionError, GatewayContext, ServerConnection,
    contacts::ExpectedResponse,
    moves::{CallEvent, MoveSource, SendPermit, SourceState, StopAnswer, StopProgress},
};

/// Timeout of the connection for one call. Across a link that is full it takes most of a second, and a
/// lost SYN packet is resent after one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of one call. The answer comes when the memory is copied.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time from the first call to the second one. It doubles with each further call.
const FIRST_CALL_PAUSE: Duration = Duration::from_millis(25);
/// Longest time between two calls: an engine that can be reached again must be told within the
/// 400 ms for which two engines may work on a generation, even if earlier calls are lost on their
/// connections.
const LONGEST_CALL_PAUSE: Duration = Duration::from_millis(200);
/// Time between two calls to an engine at whose address nothing listens. A partition that rejects
/// connections looks the same as an exit; after it, the engine must be told within the time for which
/// VMs do not yet count as connected again, three seconds or more.
const EXITED_CALL_PAUSE: Duration = Duration::from_millis(1_000);
/// Time for which an engine is called although it is not registered any more. Some engines serve on
/// for many seconds after their registration was removed.
const UNREGISTERED_TIME: Duration = Duration::from_secs(10);
/// Number of calls that may be waited for at the same time.
const OPEN_CALLS: usize = 16;

/// Calls that tell an engine to stop a generation.
pub(crate) struct StopCalls {
    /// Shared state of the gateway.
    pub(crate) context: Arc<GatewayContext>,
    /// Attempt of the generation.
    pub(crate) attempt: String,
    /// Engine that is told to stop.
    pub(crate) source: MoveSource,
    /// Whether the engine has not ended the generation's response.
    pub(crate) is_response_open: Arc<AtomicBool>,
    /// Engine to which the memory is copied.
    pub(crate) target: SocketAddr,
    /// Time at which the engine ends the generation by itself.
    pub(crate) deadline: Instant,
}

impl StopCalls {
    /// Calls the engine until it answers that the generation does not run there.
    pub(super) async fn run(
        &self,
        progress: &watch::Sender<StopProgress>,
        mut is_wanted: watch::Receiver<bool>,
    ) {
        let (sender, mut events) = mpsc::channel(OPEN_CALLS);
        // A call that gets its connection late must not stop the generation once it goes on.
        let may_send = SendPermit::default();
        let mut number = 0;
        let mut pause = FIRST_CALL_PAUSE;
        let started_at = Instant::now();
        let mut next_call = started_at;
        loop {
            let state = progress.borrow().answer.as_ref().map(|answer| answer.state);
            let has_exited = state == Some(SourceState::Exited);
            let is_answered = state.is_some_and(|state| !state.is_provisional());
            may_send.set(!is_answered && *is_wanted.borrow());
            if is_answered && progress.borrow().is_settled() {
                return;
            }
            tokio::select! {
                Some(event) = events.recv() => {
                    progress.send_modify(|progress| progress.note_event(event));
                }
                Ok(()) = is_wanted.changed() => {
                    if *is_wanted.borrow_and_update() {
                        next_call = Instant::now();
                    }
                }
                () = tokio::time::sleep_until(next_call) => {
                    next_call = Instant::now() + if has_exited { EXITED_CALL_PAUSE } else { pause };
                    pause = LONGEST_CALL_PAUSE.min(pause * 2);
                    let is_wanted = *is_wanted.borrow();
                    if !is_wanted && progress.is_closed() {
                        return;
                    }
                    if is_answered || !is_wanted || sender.strong_count() > OPEN_CALLS {
                        continue;
                    }
                    let is_unregistered = !self.is_registered();
                    if state.is_some() && is_unregistered {
                        return;
                    }
                    let is_gone = is_unregistered && started_at.elapsed() > UNREGISTERED_TIME;
                    if is_gone || Instant::now() >= self.deadline {
                        info!(
                            id = self.attempt,
                            source = self.source.id,
                            number,
                            "move: source never told"
                        );
                        return;
                    }
                    number += 1;
                    self.spawn_call(number, may_send.clone(), sender.clone());
                }
            }
        }
    }

    fn is_registered(&self) -> bool {
        self.context.view().server(self.source.server).is_some()
    }

    fn spawn_call(&self, number: u32, may_send: SendPermit, events: mpsc::Sender<CallEvent>) {
        let protocol = &self.context.engine_protocol;
        let call = protocol.copy_call(&self.attempt, self.target, true);
        let (context, attempt) = (Arc::clone(&self.context), self.attempt.clone());
        let (source, is_response_open) = (self.source.clone(), Arc::clone(&self.is_response_open));
        tokio::spawn(async move {
            let mut is_kept = false;
            let connected = connect(&context, source.address, &attempt, number).await;
            if !may_send.is_set() {
                drop(events.send(CallEvent::Withdrawn).await);
                return;
            }
            let (copy, error, was_connected) = match connected {
                Ok(connection) => {
                    // The receiver ends only after all calls or with an answer.
                    drop(events.send(CallEvent::Connected).await);
                    is_kept = connection.is_reused();
                    let expected =
                        ExpectedResponse::Call { name: context.names.attempt, attempt: &attempt };
                    let response = call
                        .send_expecting(connection, source.address, expected, CALL_TIMEOUT)
                        .await;
                    if response.is_ok() {
                        context.pool.contacts().note_answer(source.address);
                    }
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
                (Some(copy), _) => {
                    SourceState::after_final_copy(copy, is_response_open.load(Ordering::Acquire))
                }
                (None, _) => None,
            };
            // An engine that stays out of reach is called as long as the request may run.
            if state.is_some() || number == 1 {
                info!(
                    id = attempt,
                    source = source.id,
                    number,
                    is_kept,
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
                source.release(&context, &attempt, &handle).await;
            }
        });
    }
}

/// Returns a connection for a call. Every second call takes an idle connection if there is one: an
/// engine whose queue of new connections is full still serves those that are open.
async fn connect(
    context: &GatewayContext,
    source: SocketAddr,
    attempt: &str,
    number: u32,
) -> Result<ServerConnection, ConnectionError> {
    if number.is_multiple_of(2)
        && let Some(kept) = context.pool.take_kept(source, attempt)
    {
        return Ok(kept);
    }
    let connection = context.pool.connect(source, CONNECT_TIMEOUT).await?;
    context.metrics.connections.inc();
    Ok(connection)
}
