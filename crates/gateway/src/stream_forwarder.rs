//! Forwards requests with event stream responses.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use dragonflycart_core::{ErrorKind, PromptPart};
use hyper::Response;
use tracing::info;

use crate::{
    AttemptOutcome, CallerRequest, ConnectionError, EngineWatcher, GatewayContext, GatewayFailure,
    GenerationRelay, GenerationReservation, MoveOutcome, OpenResponse, RelaySource, ResponseBody,
    RunEnd, ServerKey, ServerReservation, StreamProgress, SystemHeaders, engine_wait,
    memory::ReservedBytes, response_body, response_relay, server_attempt,
};

/// Maximum number of servers tried while none has run the request.
const MAX_OFFERS: u32 = 5;
/// Maximum number of events buffered for a slow caller.
const EVENTS_BUFFERED: usize = 64;
/// Maximum body size of an error response, in bytes.
const FAILURE_LIMIT_BYTES: usize = 64 * 1024;

/// Forwards one request.
pub struct StreamForwarder {
    context: Arc<GatewayContext>,
    request: CallerRequest,
    excluded: BTreeSet<ServerKey>,
    arrivals: u32,
    progress: Arc<StreamProgress>,
    /// Time until an engine was reserved.
    queued_ms: u64,
}

impl StreamForwarder {
    /// Builds the forwarder of a request.
    pub fn new(context: &Arc<GatewayContext>, request: CallerRequest) -> StreamForwarder {
        let progress = Arc::new(StreamProgress::new(request.last_event));
        StreamForwarder {
            progress,
            context: Arc::clone(context),
            request,
            excluded: BTreeSet::new(),
            arrivals: 0,
            queued_ms: 0,
        }
    }

    /// Forwards the request and returns the response as soon as its head was received.
    ///
    /// # Errors
    ///
    /// Returns the failure to report to the caller.
    pub async fn run(mut self) -> Result<Response<ResponseBody>, GatewayFailure> {
        if self.outlasts_stop() {
            return Err(GatewayFailure::new(ErrorKind::Draining, "it would outlast this VM")
                .with_retry_after(Duration::ZERO));
        }
        let mut failure = server_attempt::not_run("no engine takes work");
        for _ in 0..MAX_OFFERS {
            if self.request.time_left().is_zero() {
                return Err(GatewayFailure::new(ErrorKind::DeadlineNotStarted, "no time left"));
            }
            let now = self.context.clock.now();
            if self.arrivals > 0 && !self.context.view().take_retry(&self.request.service, now) {
                info!(
                    id = self.request.attempt,
                    service = self.request.service,
                    "stream: no retry left"
                );
                break;
            }
            let waiting = engine_wait::reserve_engine(&self.context, &self.request, &self.excluded);
            let reservation = waiting.await?;
            self.queued_ms = self.request.arrived.elapsed().as_millis() as u64;
            self.excluded.insert(reservation.engine.server());
            let mut watcher = EngineWatcher::new(&self.context);
            let (reservation, outcome) = self.offer_and_watch(reservation, &mut watcher).await;
            match outcome {
                AttemptOutcome::NotSent(error) => self.log_offer(&reservation, error.into()),
                AttemptOutcome::Withheld(rejection) => {
                    self.log_offer(&reservation, "withheld");
                    reservation.close();
                    return Err(rejection);
                }
                AttemptOutcome::ServerWithdrawn => self.log_offer(&reservation, "withdrawn"),
                AttemptOutcome::Refused { .. } => {
                    self.arrivals += 1;
                    self.log_offer(&reservation, "refused");
                    failure = GatewayFailure::new(ErrorKind::Overloaded, "all engines refused");
                }
                AttemptOutcome::Lost(error) => {
                    self.log_offer(&reservation, error.into());
                    return Err(lost_failure(error));
                }
                AttemptOutcome::Answered(response) => {
                    return self.respond(reservation, watcher, *response).await;
                }
            }
            reservation.close();
        }
        Err(failure)
    }

    /// Returns whether the stream is expected to be cut off by a planned stop of this VM. Another
    /// VM can serve it at once.
    fn outlasts_stop(&self) -> bool {
        let Some(left) = self.context.time_to_stop() else { return false };
        let CallerRequest { service, demand, .. } = &self.request;
        !self.context.view().ends_within(service, *demand, left)
    }

    /// Offers the request to an engine. Resumes on another one if the engine leaves or the
    /// connection is lost before the response starts.
    async fn offer_and_watch(
        &self,
        reservation: GenerationReservation,
        watcher: &mut EngineWatcher,
    ) -> (GenerationReservation, AttemptOutcome) {
        let outcome = {
            let backup_at = reservation.backup_address();
            let fields = SystemHeaders {
                server_id: reservation.engine.id(),
                backup_at: backup_at.as_deref(),
                ..SystemHeaders::default()
            };
            let offer =
                server_attempt::offer(&self.context, &self.request, &reservation.engine, fields);
            tokio::pin!(offer);
            loop {
                tokio::select! {
                    biased;
                    outcome = &mut offer => break Err((outcome, true)),
                    moved = watcher.next(&self.request, &reservation, &self.progress) => match moved {
                        MoveOutcome::Stays => {}
                        MoveOutcome::Gone => {
                            break Err((AttemptOutcome::Lost(ConnectionError::Closed), false));
                        }
                        MoveOutcome::Resumed(resumed) => break Ok(resumed),
                    }
                }
            }
        };
        let resumed = match outcome {
            Ok(resumed) => resumed,
            // A generation that could not be resumed must not be resumed again.
            Err((AttemptOutcome::Lost(error), true))
                if !matches!(error, ConnectionError::TimedOut | ConnectionError::Stopping) =>
            {
                match watcher.recover(&self.request, &reservation, &self.progress).await {
                    MoveOutcome::Resumed(resumed) => resumed,
                    MoveOutcome::Stays | MoveOutcome::Gone => {
                        return (reservation, AttemptOutcome::Lost(error));
                    }
                }
            }
            Err((outcome, _)) => return (reservation, outcome),
        };
        reservation.close();
        *watcher = EngineWatcher::new(&self.context);
        (resumed.reservation, AttemptOutcome::Answered(Box::new(resumed.response)))
    }

    async fn respond(
        self,
        reservation: GenerationReservation,
        watcher: EngineWatcher,
        response: OpenResponse,
    ) -> Result<Response<ResponseBody>, GatewayFailure> {
        let OpenResponse { head, mut connection, run } = response;
        let names = self.context.names;
        if !response_relay::is_genuine(&names, &head) {
            self.log_offer(&reservation, "not_genuine");
            run.close(RunEnd::Failed);
            connection.close();
            return Err(GatewayFailure::new(ErrorKind::Interrupted, "the answer isn't genuine"));
        }
        if !head.status.is_success() {
            self.log_offer(&reservation, "failed");
            let denies_run = response_relay::denies_run(head.status);
            let is_failure = denies_run || head.status.is_server_error();
            run.close(if is_failure { RunEnd::Failed } else { RunEnd::Good });
            let mut memory = self.context.responses.body(connection.has_known_length());
            let body = connection.read_reserved_body(FAILURE_LIMIT_BYTES, &mut memory);
            let body = server_attempt::await_server(&self.context, &self.request, body).await;
            let Ok(body) = body else {
                connection.close();
                return Err(GatewayFailure::new(ErrorKind::BackendFailed, "the engine failed"));
            };
            self.context.pool.put_back(reservation.engine.address(), connection);
            if denies_run {
                return Err(GatewayFailure::new(ErrorKind::BackendFailed, "the engine failed"));
            }
            let body = ReservedBytes::body(body.into(), memory);
            return Ok(response_relay::build(&names, &head, response_body::full(body)));
        }
        self.log_offer(&reservation, "answered");
        let (sender, body) = response_body::channel(EVENTS_BUFFERED);
        let response = response_relay::build(&names, &head, body);
        let source = RelaySource { reservation, watcher, connection, run };
        let relay =
            GenerationRelay::new(&self.context, self.request, source, self.progress, sender);
        tokio::spawn(relay.run());
        Ok(response)
    }

    fn log_offer(&self, reservation: &GenerationReservation, outcome: &'static str) {
        info!(
            id = self.request.attempt,
            server = reservation.engine.id(),
            backup = reservation.backup.as_ref().map(ServerReservation::id),
            outcome,
            parts = PromptPart::list(&self.request.prompt_parts),
            arrivals = self.arrivals,
            seen_tokens = reservation.engine.seen_load().memory_tokens(),
            seen_unread = reservation.engine.seen_load().pending_prompt_tokens,
            queued_ms = self.queued_ms,
            waited_ms = self.request.arrived.elapsed().as_millis() as u64,
            "stream: offered"
        );
    }
}

fn lost_failure(error: ConnectionError) -> GatewayFailure {
    match error {
        ConnectionError::TimedOut => {
            GatewayFailure::new(ErrorKind::DeadlineExceeded, "the engine did not answer")
        }
        _ => GatewayFailure::new(ErrorKind::Interrupted, "the engine's answer was lost"),
    }
}
