//! Forwards requests to plain services, which do not stream their responses.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_core::{ErrorKind, MonoTime};
use hyper::Response;
use tracing::info;

use crate::{
    AttemptOutcome, CallerRequest, ConnectionError, GatewayContext, GatewayFailure, OfferHistory,
    OpenResponse, ResponseBody, ResponseHead, RunEnd, ServerReservation, SystemHeaders,
    memory::ReservedBytes,
    plain_calls::slot_wait::{self, WaitFailure},
    response_body, response_relay, server_attempt,
};

/// Maximum response size of a plain service, in bytes. Responses are buffered whole, so that a
/// request can be retried if its response is cut off and the route allows retries.
const RESPONSE_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Minimum time before the deadline to offer a request to another server; with less, the response
/// would be late.
const MIN_OFFER_TIME: Duration = Duration::from_millis(15);
/// Interval at which a request checks whether the retry budget allows a retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of servers tried while none has run a request that does not wait for slots.
const MAX_OFFERS: u32 = 4;

/// Forwards one request.
pub struct CallForwarder {
    context: Arc<GatewayContext>,
    request: CallerRequest,
    excluded: BTreeSet<crate::ServerKey>,
    offers: OfferHistory,
    /// Whether the request waits for a free slot.
    may_wait: bool,
    /// Number of refusals by servers and time of the last one.
    refusals: Option<(u32, MonoTime)>,
    last_failure: Option<(ResponseHead, Bytes)>,
}

impl CallForwarder {
    /// Builds the forwarder of a request.
    pub fn new(context: &Arc<GatewayContext>, request: CallerRequest) -> CallForwarder {
        CallForwarder {
            may_wait: slot_wait::takes_effect(context, &request),
            refusals: None,
            context: Arc::clone(context),
            request,
            excluded: BTreeSet::new(),
            offers: OfferHistory::default(),
            last_failure: None,
        }
    }

    /// Forwards the request and returns the response.
    ///
    /// # Errors
    ///
    /// Returns the failure to report to the caller.
    pub async fn run(mut self) -> Result<Response<ResponseBody>, GatewayFailure> {
        let mut failure = server_attempt::not_run("no server takes work");
        let mut tries = 0;
        while self.may_wait || tries < MAX_OFFERS {
            tries += 1;
            if self.request.time_left() < MIN_OFFER_TIME {
                failure = self.too_late();
                break;
            }
            let is_retry = self.offers.arrivals() > 0;
            if is_retry && !self.wait_for_retry().await {
                break;
            }
            let reservation = match self.reserve().await {
                Ok(reservation) => reservation,
                Err(WaitFailure::NoServer) => break,
                Err(WaitFailure::Refused(refusal)) => {
                    if !self.offers.may_have_run() {
                        failure = refusal;
                    }
                    break;
                }
            };
            // A VM that was frozen may serve its waiting requests after their time.
            if self.request.time_left() < MIN_OFFER_TIME {
                reservation.close();
                failure = self.too_late();
                break;
            }
            if is_retry && !self.take_retry() {
                reservation.close();
                continue;
            }
            self.excluded.insert(reservation.server());
            let fields = SystemHeaders { server_id: reservation.id(), ..SystemHeaders::default() };
            let outcome =
                server_attempt::offer(&self.context, &self.request, &reservation, fields).await;
            match outcome {
                AttemptOutcome::NotSent(error) => self.log_offer(&reservation, error.into()),
                AttemptOutcome::Withheld(rejection) => {
                    self.log_offer(&reservation, "withheld");
                    reservation.close();
                    if !self.offers.may_have_run() {
                        failure = rejection;
                    }
                    break;
                }
                AttemptOutcome::ServerWithdrawn => self.log_offer(&reservation, "withdrawn"),
                AttemptOutcome::Refused { .. } => {
                    self.note_refused(&reservation);
                    failure = self.refused_failure();
                }
                AttemptOutcome::Lost(error) => {
                    self.offers.note_possible_run();
                    self.log_offer(&reservation, error.into());
                    failure = self.lost_failure(error);
                }
                AttemptOutcome::Answered(response) => {
                    self.offers.note_possible_run();
                    match self.collect(&reservation, *response).await {
                        Ok(response) => {
                            self.context.count_use(self.request.team.as_deref());
                            return Ok(response);
                        }
                        Err(reason) => failure = reason,
                    }
                }
            }
            reservation.close();
        }
        self.finish(failure)
    }

    /// Returns the last error response of a server if there is one, otherwise the gateway's own
    /// failure.
    fn finish(self, failure: GatewayFailure) -> Result<Response<ResponseBody>, GatewayFailure> {
        match self.last_failure {
            Some((head, body)) => {
                self.context.count_use(self.request.team.as_deref());
                Ok(response_relay::build(&self.context.names, &head, response_body::full(body)))
            }
            None => Err(self.offers.reported_failure(failure)),
        }
    }

    fn too_late(&self) -> GatewayFailure {
        if self.offers.may_have_run() {
            GatewayFailure::new(ErrorKind::DeadlineExceeded, "no time left to repeat")
        } else {
            GatewayFailure::new(ErrorKind::DeadlineNotStarted, "no time left")
        }
    }

    fn lost_failure(&self, error: ConnectionError) -> GatewayFailure {
        match error {
            ConnectionError::TimedOut => {
                GatewayFailure::new(ErrorKind::DeadlineExceeded, "the server did not answer")
            }
            _ => GatewayFailure::new(ErrorKind::Interrupted, "the server's answer was lost"),
        }
    }

    /// Records that a server refused the request. A request that waits may be offered to it again.
    fn note_refused(&mut self, reservation: &ServerReservation) {
        self.offers.note_refused();
        self.log_offer(reservation, "refused");
        if self.may_wait {
            self.excluded.remove(&reservation.server());
            let count = self.refusals.map_or(1, |(count, _)| count + 1);
            self.refusals = Some((count, self.context.clock.now()));
        }
    }

    fn refused_failure(&self) -> GatewayFailure {
        let failure = GatewayFailure::new(ErrorKind::Overloaded, "all servers refused");
        if !self.may_wait {
            return failure;
        }
        failure.with_retry_after(slot_wait::retry_time(&self.context, &self.request))
    }

    /// Waits until the request may be retried. Returns false if it never may, or not while the
    /// retry could be answered. A request that does not wait for slots does not wait here either,
    /// nor one that may have run, whose failure is known.
    async fn wait_for_retry(&self) -> bool {
        if !self.offers.allows_offer(&self.request.route) {
            return false;
        }
        loop {
            let now = self.context.clock.now();
            let time = self.context.view().time_to_retry(&self.request.service, now);
            if time == Some(Duration::ZERO) {
                return true;
            }
            let left = self.request.time_left().saturating_sub(self.request.route.latency_target);
            let may_wait =
                self.may_wait && !self.offers.may_have_run() && !self.context.rejects_requests();
            if !may_wait || time.is_none_or(|time| time > left) {
                self.log_no_retry();
                return false;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Takes a retry from the budget. Returns false if other requests used it up while this one
    /// waited for a slot.
    fn take_retry(&self) -> bool {
        let now = self.context.clock.now();
        self.context.view().take_retry(&self.request.service, now)
    }

    fn log_no_retry(&self) {
        info!(id = self.request.attempt, service = self.request.service, "call: no retry left");
    }

    /// Reserves a server, as soon as one has a free slot if the request waits.
    async fn reserve(&self) -> Result<ServerReservation, WaitFailure> {
        let (context, request) = (&self.context, &self.request);
        if self.may_wait {
            return slot_wait::reserve_server(context, request, &self.excluded, self.refusals)
                .await;
        }
        let now = context.clock.now();
        let placement = context.view().place(&request.query(&self.excluded), now);
        match placement {
            Ok(placement) => Ok(ServerReservation::new(context, placement)),
            Err(_) => Err(WaitFailure::NoServer),
        }
    }

    /// Reads the body of a response. A server's error response is kept, so that it can be returned
    /// if no other server succeeds.
    async fn collect(
        &mut self,
        reservation: &ServerReservation,
        response: OpenResponse,
    ) -> Result<Response<ResponseBody>, GatewayFailure> {
        let OpenResponse { head, mut connection, run } = response;
        let mut memory = self.context.responses.body(connection.has_known_length());
        let body = connection.read_reserved_body(RESPONSE_LIMIT_BYTES, &mut memory);
        let body = server_attempt::await_server(&self.context, &self.request, body).await;
        let body = match body {
            Ok(body) => ReservedBytes::body(body.into(), memory),
            Err(ConnectionError::Stopping) => {
                connection.close();
                run.close(RunEnd::Abandoned);
                self.log_offer(reservation, ConnectionError::Stopping.into());
                return Err(self.lost_failure(ConnectionError::Stopping));
            }
            // Other responses may use the memory, so this says nothing of the server.
            Err(_) if memory.is_waiting() => {
                connection.close();
                run.close(RunEnd::Abandoned);
                self.context.metrics.responses_without_memory.inc();
                info!(
                    id = self.request.attempt,
                    server = reservation.id(),
                    bytes = memory.bytes(),
                    limit = RESPONSE_LIMIT_BYTES,
                    "call: no memory for the response"
                );
                self.log_offer(reservation, ConnectionError::NoMemory.into());
                return Err(self.lost_failure(ConnectionError::NoMemory));
            }
            Err(error) => {
                connection.close();
                server_attempt::note_lost(&self.context, &self.request, reservation, run);
                self.log_offer(reservation, error.into());
                return Err(self.lost_failure(error));
            }
        };
        let is_genuine = response_relay::is_genuine(&self.context.names, &head);
        if is_genuine {
            self.context.pool.put_back(reservation.address(), connection);
        } else {
            connection.close();
        }
        let denies_run = response_relay::denies_run(head.status);
        let is_failure = !is_genuine || denies_run || head.status.is_server_error();
        run.close(if is_failure { RunEnd::Failed } else { RunEnd::Good });
        if !is_genuine {
            self.log_offer(reservation, "not_genuine");
            return Err(GatewayFailure::new(ErrorKind::Interrupted, "the answer isn't genuine"));
        }
        if !is_failure {
            self.log_offer(reservation, "answered");
            return Ok(response_relay::build(
                &self.context.names,
                &head,
                response_body::full(body),
            ));
        }
        self.log_offer(reservation, "failed");
        if !denies_run {
            self.last_failure = Some((head, body));
        }
        Err(GatewayFailure::new(ErrorKind::BackendFailed, "the server failed"))
    }

    fn log_offer(&self, reservation: &ServerReservation, outcome: &'static str) {
        info!(
            id = self.request.attempt,
            server = reservation.id(),
            outcome,
            arrivals = self.offers.arrivals(),
            left_ms = self.request.time_left().as_millis() as u64,
            "call: offered"
        );
    }
}
