//! A single attempt to run a request on a server.

use std::{sync::Arc, time::Duration};

use dragonflycart_capacity::RunningLoad;
use dragonflycart_core::ErrorKind;
use hyper::StatusCode;
use tracing::info;

use crate::{
    CallerRequest, ConnectionError, GatewayContext, GatewayFailure, ResponseHead, RouteKind,
    RunEnd, ServerConnection, ServerReservation, SystemHeaders,
    containment::{prompt_check, run_check},
    revocation::key_check,
    versions::RequestRun,
};

/// Time for which this VM sends no new requests to a server that refused one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// Response whose head has been read.
pub struct OpenResponse {
    /// Head of the response.
    pub head: ResponseHead,
    /// Connection to read the body from.
    pub connection: ServerConnection,
    /// Records the result.
    pub(crate) run: RequestRun,
}

/// Outcome of offering a request to a server.
pub enum AttemptOutcome {
    /// The server responded and may have run the request.
    Answered(Box<OpenResponse>),
    /// Nothing was sent to the server.
    NotSent(ConnectionError),
    /// Nothing was sent to the server, because the request's key is no longer accepted or a part of
    /// its prompt is contained.
    Withheld(GatewayFailure),
    /// Nothing was sent to the server, because it was withdrawn since it was reserved.
    ServerWithdrawn,
    /// The server responded that it did not run the request.
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// The request was sent but there is no valid response; it may have run.
    Lost(ConnectionError),
}

/// Sends a request to a reserved server and reads the head of the response.
pub async fn offer(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    reservation: &ServerReservation,
    fields: SystemHeaders<'_>,
) -> AttemptOutcome {
    let mut connection =
        match context.pool.acquire_for(reservation.address(), &request.attempt).await {
            Ok(connection) => connection,
            Err(error) => {
                note_unreachable(context, request, reservation, error);
                return AttemptOutcome::NotSent(error);
            }
        };
    if !connection.is_reused() {
        context.metrics.connections.inc();
    }
    if let Err(failure) = check_request(context, request, fields) {
        context.pool.put_back(reservation.address(), connection);
        return AttemptOutcome::Withheld(failure);
    }
    if is_server_withdrawn(context, reservation, fields) {
        context.pool.put_back(reservation.address(), connection);
        return AttemptOutcome::ServerWithdrawn;
    }
    context.stops.withdraw(&request.attempt, reservation.address());
    let head = request.encode_head(&context.names, fields);
    let echo = (context.names.attempt, request.attempt.as_str());
    let run = RequestRun::start(
        context,
        reservation.server(),
        request,
        run_load(request, reservation, fields),
    );
    let exchange = connection.exchange(&head, &request.body, Some(echo));
    let result = if fields.is_begun {
        // The caller can't get another answer before the process ends.
        await_deadline(request, exchange).await
    } else {
        await_server(context, request, exchange).await
    };
    let response = match result {
        Ok(response) => response,
        Err(ConnectionError::Stopping) => {
            connection.close();
            run.close(RunEnd::Abandoned);
            return AttemptOutcome::Lost(ConnectionError::Stopping);
        }
        Err(error) => {
            connection.close();
            note_lost(context, request, reservation, run);
            return AttemptOutcome::Lost(error);
        }
    };
    note_load(context, reservation, &response);
    note_announcements(context, reservation, &response);
    let status = response.status.as_u16();
    if status == 421 || response.headers.contains_key(context.names.not_run) {
        note_refusal(context, reservation, status);
        run.close(if status == 421 { RunEnd::Replaced } else { RunEnd::Refused });
        context.pool.put_back_after_body(reservation.address(), connection);
        return AttemptOutcome::Refused { status };
    }
    AttemptOutcome::Answered(Box::new(OpenResponse { head: response, connection, run }))
}

/// Returns whether a server must get no request that was reserved for it before. A generation whose
/// memory is there can go on only there, unless the server leaves.
fn is_server_withdrawn(
    context: &GatewayContext,
    reservation: &ServerReservation,
    fields: SystemHeaders<'_>,
) -> bool {
    let (now, server) = (context.clock.now(), reservation.server());
    let view = context.view();
    let is_closed = !fields.is_return && view.is_closed(server);
    is_closed || (fields.resume_from.is_none() && view.is_withdrawn(server, now))
}

/// Returns the load of a server with the request, or `None` if the prompt is not read there because
/// the generation is resumed.
fn run_load(
    request: &CallerRequest,
    reservation: &ServerReservation,
    fields: SystemHeaders<'_>,
) -> Option<RunningLoad> {
    let seen = reservation.seen_load();
    fields.resume_from.is_none().then(|| RunningLoad {
        requests: seen.requests + 1,
        unread_tokens: seen.pending_prompt_tokens + request.demand.prompt_tokens,
    })
}

/// Waits for a server's response or its body, until the request's deadline or the end of a planned
/// stop.
///
/// # Errors
///
/// Returns [`ConnectionError::TimedOut`] or [`ConnectionError::Stopping`] if it did not come in time,
/// and the error of `response` itself.
pub(crate) async fn await_server<T>(
    context: &GatewayContext,
    request: &CallerRequest,
    response: impl Future<Output = Result<T, ConnectionError>>,
) -> Result<T, ConnectionError> {
    tokio::select! {
        biased;
        result = await_deadline(request, response) => result,
        () = context.last_answer_time() => Err(ConnectionError::Stopping),
    }
}

async fn await_deadline<T>(
    request: &CallerRequest,
    response: impl Future<Output = Result<T, ConnectionError>>,
) -> Result<T, ConnectionError> {
    let result = tokio::time::timeout_at(request.deadline, response).await;
    result.unwrap_or(Err(ConnectionError::TimedOut))
}

/// Checks that a request may still be sent. Requests wait in several places, the last of them being
/// the connection, so all are checked here.
fn check_request(
    context: &GatewayContext,
    request: &CallerRequest,
    fields: SystemHeaders<'_>,
) -> Result<(), GatewayFailure> {
    // A generation that goes on at another engine presented its key before.
    if fields.resume_from.is_none() {
        // A stream that has begun was accepted before the stop, and can't be rejected any more.
        if !fields.is_begun {
            check_stop(context)?;
        }
        key_check::check_request(context, request)?;
    }
    prompt_check::check_request(context, request)
}

/// Checks that a planned stop leaves time for a request that was not sent yet.
///
/// # Errors
///
/// Returns the failure to report if it does not.
pub(crate) fn check_stop(context: &GatewayContext) -> Result<(), GatewayFailure> {
    if context.rejects_requests() { Err(stop_failure()) } else { Ok(()) }
}

/// Returns the failure of a request that was not sent because of a planned stop.
pub(crate) fn stop_failure() -> GatewayFailure {
    GatewayFailure::new(ErrorKind::Draining, "this VM stops")
}

/// Records that a response was lost, and reports it to the peers at once.
pub(crate) fn note_lost(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    reservation: &ServerReservation,
    run: RequestRun,
) {
    run.close(RunEnd::Failed);
    let now = context.clock.now();
    let mut view = context.view();
    if let Some(state) = view.server_mut(reservation.server()) {
        state.losses.note_own(now);
    }
    drop(view);
    context.load_changes.notify_one();
    if request.route.kind == RouteKind::Stream {
        run_check::start(context, reservation);
    }
}

fn note_unreachable(
    context: &GatewayContext,
    request: &CallerRequest,
    reservation: &ServerReservation,
    error: ConnectionError,
) {
    let now = context.clock.now();
    let (server, reason) = (reservation.server(), <&str>::from(error));
    info!(server = reservation.id(), address = %reservation.address(), reason, "server: unreachable");
    if error == ConnectionError::NotListening && request.route.kind == RouteKind::Stream {
        run_check::note_ended(context, server, now);
    } else {
        context.view().note_unreachable(server, now);
    }
}

fn note_refusal(context: &GatewayContext, reservation: &ServerReservation, status: u16) {
    let now = context.clock.now();
    let mut view = context.view();
    if status == 421 {
        view.note_replaced(reservation.server(), now);
    } else {
        view.note_refusal(reservation.server(), REFUSAL_PAUSE, now);
    }
}

/// Records that the server is going to shut down, or wants no requests for some time.
fn note_announcements(
    context: &GatewayContext,
    reservation: &ServerReservation,
    response: &ResponseHead,
) {
    let (now, server) = (context.clock.now(), reservation.server());
    if response.headers.contains_key(context.names.leaving)
        && context.view().note_announced_leaving(server, now)
    {
        info!(server = reservation.id(), "server: announces its shutdown");
        context.announce_change();
        context.load_changes.notify_one();
    }
    if response.status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(pause) = response.retry_after()
    {
        info!(
            server = reservation.id(),
            pause_ms = pause.as_millis() as u64,
            "server: wants a pause"
        );
        if let Some(state) = context.view().server_mut(server) {
            state.note_declined(pause, now);
        }
    }
}

/// Updates the server's load and warm-up state from the headers of its response.
fn note_load(context: &GatewayContext, reservation: &ServerReservation, response: &ResponseHead) {
    let now = context.clock.now();
    let mut view = context.view();
    view.note_reached(reservation.server());
    view.note_load_header(reservation.server(), response.text(context.names.load), now);
    let Some(state) = view.server_mut(reservation.server()) else { return };
    if let Some(cold_ms) = response.text(context.names.cold_left).and_then(|text| text.parse().ok())
    {
        state.cold_until = state.cold_until.max(now + Duration::from_millis(cold_ms));
    }
}

/// Returns the failure of a request that no server ran.
pub fn not_run(cause: &'static str) -> GatewayFailure {
    GatewayFailure::new(ErrorKind::NoBackend, cause)
}
