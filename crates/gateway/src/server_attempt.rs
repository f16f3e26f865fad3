//! One attempt to have a server run a request.

use std::{sync::Arc, time::Duration};

use dragonflycart_core::ErrorKind;
use tokio::time::Instant;
use tracing::info;

use crate::{
    AnswerHead, CallerRequest, ConnectionError, GatewayContext, GatewayFailure, ServerConnection,
    SystemFields, WorkTicket,
};

/// Time for which a server that refused a request gets no new work from this VM.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

/// Response whose head was read.
pub struct OpenAnswer {
    /// Head of the response.
    pub head: AnswerHead,
    /// Connection from which the body is read.
    pub channel: ServerConnection,
}

/// What became of a request that was offered to a server.
pub enum AttemptOutcome {
    /// The server answered and may have run the request.
    Answered(Box<OpenAnswer>),
    /// No byte reached the server.
    NotSent(ConnectionError),
    /// The server states that it did not run the request.
    Refused {
        /// Status of the refusal.
        status: u16,
    },
    /// The request was sent and there is no valid response; it may have run.
    Lost(ConnectionError),
}

/// Offers a request to the server of a ticket and reads the head of the response.
pub async fn offer(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    ticket: &WorkTicket,
    fields: SystemFields<'_>,
) -> AttemptOutcome {
    let started = Instant::now();
    let mut channel = match context.pool.acquire(ticket.address()).await {
        Ok(channel) => channel,
        Err(error) => {
            note_unreachable(context, ticket);
            return AttemptOutcome::NotSent(error);
        }
    };
    if !channel.is_reused() {
        context.metrics.connections.inc();
    }
    let head = request.encode_head(&context.names, fields);
    let echo = (context.names.attempt, request.attempt.as_str());
    let exchange = channel.exchange(&head, &request.body, Some(echo));
    let answer = match tokio::time::timeout_at(request.deadline, exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return lost(context, request, ticket, channel, error, started),
        Err(_) => {
            return lost(context, request, ticket, channel, ConnectionError::TimedOut, started);
        }
    };
    note_load(context, ticket, &answer);
    let status = answer.status.as_u16();
    if status == 421 || answer.headers.contains_key(context.names.not_run) {
        note_refusal(context, ticket, status);
        context.pool.put_back_after_body(ticket.address(), channel);
        return AttemptOutcome::Refused { status };
    }
    AttemptOutcome::Answered(Box::new(OpenAnswer { head: answer, channel }))
}

fn lost(
    context: &GatewayContext,
    request: &CallerRequest,
    ticket: &WorkTicket,
    channel: ServerConnection,
    error: ConnectionError,
    started: Instant,
) -> AttemptOutcome {
    channel.close();
    note_lost(context, request, ticket, started.elapsed());
    AttemptOutcome::Lost(error)
}

/// Takes that a response was lost, and tells the peers at once.
pub fn note_lost(
    context: &GatewayContext,
    request: &CallerRequest,
    ticket: &WorkTicket,
    time: Duration,
) {
    let now = context.clock.now();
    let mut view = context.view();
    view.note_result(ticket.server(), &request.route.name, true, time);
    if let Some(state) = view.server_mut(ticket.server()) {
        state.losses.note_own(now);
    }
    drop(view);
    context.load_changes.notify_one();
}

fn note_unreachable(context: &GatewayContext, ticket: &WorkTicket) {
    let now = context.clock.now();
    context.view().note_unreachable(ticket.server(), now);
    info!(server = ticket.id(), address = %ticket.address(), "server: unreachable");
}

fn note_refusal(context: &GatewayContext, ticket: &WorkTicket, status: u16) {
    let now = context.clock.now();
    let mut view = context.view();
    if status == 421 {
        view.note_replaced(ticket.server(), now);
    } else if let Some(state) = view.server_mut(ticket.server()) {
        state.note_refusal(REFUSAL_PAUSE, now);
    }
}

/// Takes what a response says of the server's load.
fn note_load(context: &GatewayContext, ticket: &WorkTicket, answer: &AnswerHead) {
    let now = context.clock.now();
    let mut view = context.view();
    view.note_reached(ticket.server());
    let Some(state) = view.server_mut(ticket.server()) else { return };
    if let Some(text) = answer.text(context.names.load) {
        let numbers: Vec<u32> =
            text.split(',').filter_map(|part| part.trim().parse().ok()).collect();
        if let [running, waiting, ..] = numbers[..] {
            state.note_stated_load(running.saturating_add(waiting), now);
        }
    }
    if let Some(cold_ms) = answer.text(context.names.cold_left).and_then(|text| text.parse().ok()) {
        state.cold_until = state.cold_until.max(now + Duration::from_millis(cold_ms));
    }
}

/// Returns the failure of a request whose offer was refused or never arrived.
pub fn not_run(cause: &'static str) -> GatewayFailure {
    GatewayFailure::new(ErrorKind::NoBackend, cause)
}
