//! Forwards requests with event stream responses.

use std::{sync::Arc, time::Duration};

use dragonflycart_core::{ErrorKind, PromptPart};
use hyper::Response;
use tracing::info;

use crate::{
    AttemptOutcome, CallerRequest, ConnectionError, EngineWatcher, GatewayContext, GatewayFailure,
    GenerationRelay, GenerationReservation, MoveOutcome, OpenResponse, RelaySource, RepeatDenial,
    RepeatTime, ResponseBody, ResponseHead, RunEnd, ServerConnection, ServerReservation,
    StreamProgress, StreamRuns, SystemHeaders, engine_wait, memory::ReservedBytes, response_body,
    response_relay, resumption, server_attempt,
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
    runs: StreamRuns,
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
            runs: StreamRuns::default(),
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
        // Once the request may have run, only the outcome of a run is reported.
        let mut result = Err(server_attempt::not_run("no engine takes work"));
        for _ in 0..MAX_OFFERS {
            if self.request.time_left().is_zero() {
                if !self.runs.may_have_run() {
                    result =
                        Err(GatewayFailure::new(ErrorKind::DeadlineNotStarted, "no time left"));
                }
                break;
            }
            if self.runs.arrivals() > 0 && !self.may_offer_again() {
                break;
            }
            let waiting =
                engine_wait::reserve_engine(&self.context, &self.request, self.runs.tried());
            let reservation = match waiting.await {
                Ok(reservation) => reservation,
                Err(_) if self.runs.may_have_run() => break,
                Err(rejection) => return Err(rejection),
            };
            self.queued_ms = self.request.arrived.elapsed().as_millis() as u64;
            self.runs.note_tried(reservation.engine.server());
            let mut watcher = EngineWatcher::new(&self.context);
            let (reservation, outcome) = self.offer_and_watch(reservation, &mut watcher).await;
            match outcome {
                AttemptOutcome::NotSent(error) => self.log_offer(&reservation, error.into()),
                AttemptOutcome::Withheld(rejection) => {
                    self.log_offer(&reservation, "withheld");
                    reservation.close();
                    if !self.runs.may_have_run() {
                        result = Err(rejection);
                    }
                    break;
                }
                AttemptOutcome::ServerWithdrawn => self.log_offer(&reservation, "withdrawn"),
                AttemptOutcome::Refused { .. } => {
                    self.runs.note_refused();
                    self.log_offer(&reservation, "refused");
                    if !self.runs.may_have_run() {
                        result =
                            Err(GatewayFailure::new(ErrorKind::Overloaded, "all engines refused"));
                    }
                }
                AttemptOutcome::Lost(error) => {
                    self.runs.note_possible_run(reservation.engine.server());
                    self.log_offer(&reservation, error.into());
                    result = Err(lost_failure(error));
                    if matches!(error, ConnectionError::TimedOut | ConnectionError::Stopping) {
                        reservation.close();
                        break;
                    }
                    resumption::settle_loss(
                        &self.context,
                        &self.request,
                        &reservation.engine,
                        &mut self.runs,
                    )
                    .await;
                }
                AttemptOutcome::Answered(response) => {
                    self.runs.note_possible_run(reservation.engine.server());
                    if !self.is_failed(&response.head) {
                        return self.respond(reservation, watcher, *response).await;
                    }
                    result = self.take_failure(&reservation, *response).await;
                }
            }
            reservation.close();
        }
        result
    }

    /// Returns whether the request may be offered to another server. Takes the retry from the budget.
    fn may_offer_again(&self) -> bool {
        let now = self.context.clock.now();
        let service = &self.request.service;
        let time = RepeatTime {
            left: self.request.time_left(),
            first_event: self.context.view().timing_mut(service).expected_first_event(),
        };
        if self.runs.may_have_run() && self.request.trial_part.is_some() {
            return false;
        }
        let checked = self.runs.check(&self.request.route, time).and_then(|()| {
            let has_retry = self.context.view().take_retry(service, now);
            if has_retry { Ok(()) } else { Err(RepeatDenial::NoRetry) }
        });
        if let Err(denial) = checked
            && denial != RepeatDenial::NotResumable
        {
            let reason = <&str>::from(denial);
            info!(id = self.request.attempt, service, reason, "stream: not offered again");
        }
        if self.runs.may_have_run() && self.request.route.may_repeat() {
            self.context.metrics.count_repeat(checked.err().map_or("sent_again", <&str>::from));
        }
        checked.is_ok()
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
                watcher.note_response_ended();
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

    /// Returns whether a response shows that the server failed the request, so that another one may
    /// serve it.
    fn is_failed(&self, head: &ResponseHead) -> bool {
        !response_relay::is_genuine(&self.context.names, head)
            || response_relay::denies_run(head.status)
            || head.status.is_server_error()
    }

    /// Reads the response of a server that failed the request. Returns what to report to the caller
    /// if no other server serves it.
    async fn take_failure(
        &self,
        reservation: &GenerationReservation,
        response: OpenResponse,
    ) -> Result<Response<ResponseBody>, GatewayFailure> {
        let OpenResponse { head, connection, run } = response;
        run.close(RunEnd::Failed);
        if !response_relay::is_genuine(&self.context.names, &head) {
            self.log_offer(reservation, "not_genuine");
            connection.close();
            return Err(GatewayFailure::new(ErrorKind::Interrupted, "the answer isn't genuine"));
        }
        self.log_offer(reservation, "failed");
        let denies_run = response_relay::denies_run(head.status);
        let response = self.read_error(reservation, &head, connection).await?;
        if denies_run {
            return Err(GatewayFailure::new(ErrorKind::BackendFailed, "the engine failed"));
        }
        Ok(response)
    }

    /// Reads the body of an error response.
    async fn read_error(
        &self,
        reservation: &GenerationReservation,
        head: &ResponseHead,
        mut connection: ServerConnection,
    ) -> Result<Response<ResponseBody>, GatewayFailure> {
        let mut memory = self.context.responses.body(connection.has_known_length());
        let body = connection.read_reserved_body(FAILURE_LIMIT_BYTES, &mut memory);
        let body = server_attempt::await_server(&self.context, &self.request, body).await;
        let Ok(body) = body else {
            connection.close();
            return Err(GatewayFailure::new(ErrorKind::BackendFailed, "the engine failed"));
        };
        self.context.pool.put_back(reservation.engine.address(), connection);
        let body = ReservedBytes::body(body.into(), memory);
        Ok(response_relay::build(&self.context.names, head, response_body::full(body)))
    }

    /// Returns the response to the caller, whose events are relayed as they arrive.
    async fn respond(
        self,
        reservation: GenerationReservation,
        watcher: EngineWatcher,
        response: OpenResponse,
    ) -> Result<Response<ResponseBody>, GatewayFailure> {
        let OpenResponse { head, connection, run } = response;
        if !head.status.is_success() {
            self.log_offer(&reservation, "failed");
            run.close(RunEnd::Good);
            return self.read_error(&reservation, &head, connection).await;
        }
        self.log_offer(&reservation, "answered");
        let (sender, body) = response_body::channel(EVENTS_BUFFERED);
        let response = response_relay::build(&self.context.names, &head, body);
        let source = RelaySource { reservation, watcher, connection: Some(connection), run };
        let relay = GenerationRelay::new(
            &self.context,
            self.request,
            source,
            self.runs,
            self.progress,
            sender,
        );
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
            arrivals = self.runs.arrivals(),
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
