//! Forwards requests to plain services.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_core::ErrorKind;
use hyper::{Response, StatusCode};
use tokio::time::Instant;
use tracing::info;

use crate::{
    AnswerBody, AnswerHead, AttemptOutcome, CallerRequest, ConnectionError, GatewayContext,
    GatewayFailure, OpenAnswer, ServerConnection, SystemFields, WorkTicket, answer_body,
    answer_relay, server_attempt,
};

/// Largest response of a plain service that is passed on, in bytes. Responses are collected
/// whole, so that one that breaks off can be fetched again where the request may be repeated.
const ANSWER_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Time left below which a request is not offered to another server: the response would be late.
const OFFER_MINIMUM: Duration = Duration::from_millis(15);
/// Servers that are tried while none has run the request.
const OFFER_LIMIT: u32 = 4;

/// Forwarding of one request.
pub struct CallForwarder {
    context: Arc<GatewayContext>,
    request: CallerRequest,
    excluded: BTreeSet<crate::ServerKey>,
    /// Offers that reached a server.
    arrivals: u32,
    /// Offers that may have run.
    runs: u32,
    last_failure: Option<(AnswerHead, Bytes)>,
}

impl CallForwarder {
    /// Builds the forwarding of a request.
    pub fn new(context: &Arc<GatewayContext>, request: CallerRequest) -> CallForwarder {
        CallForwarder {
            context: Arc::clone(context),
            request,
            excluded: BTreeSet::new(),
            arrivals: 0,
            runs: 0,
            last_failure: None,
        }
    }

    /// Has the request run and returns the response.
    ///
    /// # Errors
    ///
    /// Returns the failure that the caller is told.
    pub async fn run(mut self) -> Result<Response<AnswerBody>, GatewayFailure> {
        let mut failure = server_attempt::not_run("no server takes work");
        for _ in 0..OFFER_LIMIT {
            if self.request.time_left() < OFFER_MINIMUM {
                failure = self.too_late();
                break;
            }
            if self.arrivals > 0 && !self.may_repeat() {
                break;
            }
            let Some(ticket) = self.place() else { break };
            self.excluded.insert(ticket.server());
            let started = Instant::now();
            let fields = SystemFields { server_id: ticket.id(), ..SystemFields::default() };
            let outcome =
                server_attempt::offer(&self.context, &self.request, &ticket, fields).await;
            match outcome {
                AttemptOutcome::NotSent(error) => self.log_offer(&ticket, error.into()),
                AttemptOutcome::Refused { .. } => {
                    self.arrivals += 1;
                    self.log_offer(&ticket, "refused");
                    failure = GatewayFailure::new(ErrorKind::Overloaded, "all servers refused");
                }
                AttemptOutcome::Lost(error) => {
                    self.arrivals += 1;
                    self.runs += 1;
                    self.log_offer(&ticket, error.into());
                    failure = self.lost_failure(error);
                }
                AttemptOutcome::Answered(answer) => {
                    self.arrivals += 1;
                    self.runs += 1;
                    match self.collect(&ticket, *answer, started).await {
                        Ok(response) => return Ok(response),
                        Err(reason) => failure = reason,
                    }
                }
            }
            ticket.close();
        }
        self.finish(failure)
    }

    /// Returns a server's own failure if there is one, else the system's.
    fn finish(self, failure: GatewayFailure) -> Result<Response<AnswerBody>, GatewayFailure> {
        match self.last_failure {
            Some((head, body)) => {
                Ok(answer_relay::build(&self.context.names, &head, answer_body::full(body)))
            }
            None if self.runs > 0 && failure.kind.status() == 503 => {
                Err(GatewayFailure::new(ErrorKind::Interrupted, "an earlier offer may have run"))
            }
            None => Err(failure),
        }
    }

    fn too_late(&self) -> GatewayFailure {
        if self.runs == 0 {
            GatewayFailure::new(ErrorKind::DeadlineNotStarted, "no time left")
        } else {
            GatewayFailure::new(ErrorKind::DeadlineExceeded, "no time left to repeat")
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

    /// Returns whether the request may be sent once more.
    fn may_repeat(&self) -> bool {
        if self.runs > 0 && !self.request.route.kind.is_repeatable() {
            return false;
        }
        if self.runs >= self.request.route.max_attempts {
            return false;
        }
        self.context.view().take_repeat(&self.request.service, self.context.clock.now())
    }

    fn place(&mut self) -> Option<WorkTicket> {
        let now = self.context.clock.now();
        let placement = self.context.view().place(&self.request.query(&self.excluded), now).ok()?;
        Some(WorkTicket::new(&self.context, placement))
    }

    /// Reads the body of a response. A failure of the server is kept, so that it can be passed on
    /// if no other server does better.
    async fn collect(
        &mut self,
        ticket: &WorkTicket,
        answer: OpenAnswer,
        started: Instant,
    ) -> Result<Response<AnswerBody>, GatewayFailure> {
        let OpenAnswer { head, mut channel } = answer;
        let body = channel.read_body(ANSWER_LIMIT_BYTES);
        let body = match tokio::time::timeout_at(self.request.deadline, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(self.broken(ticket, channel, error, started)),
            Err(_) => return Err(self.broken(ticket, channel, ConnectionError::TimedOut, started)),
        };
        self.context.pool.put_back(ticket.address(), channel);
        let is_genuine = answer_relay::is_genuine(&self.context.names, &head);
        let is_failure = !is_genuine || head.status.is_server_error();
        self.note_answer(ticket, is_failure, started);
        if !is_genuine {
            self.log_offer(ticket, "not_genuine");
            return Err(GatewayFailure::new(ErrorKind::Interrupted, "the answer isn't genuine"));
        }
        if !is_failure {
            self.log_offer(ticket, "answered");
            return Ok(answer_relay::build(&self.context.names, &head, answer_body::full(body)));
        }
        self.log_offer(ticket, "failed");
        // A 503 without the statement that the request did not run must not be taken for one.
        if head.status != StatusCode::SERVICE_UNAVAILABLE {
            self.last_failure = Some((head, body));
        }
        Err(GatewayFailure::new(ErrorKind::BackendFailed, "the server failed"))
    }

    fn broken(
        &self,
        ticket: &WorkTicket,
        channel: ServerConnection,
        error: ConnectionError,
        started: Instant,
    ) -> GatewayFailure {
        channel.close();
        server_attempt::note_lost(&self.context, &self.request, ticket, started.elapsed());
        self.log_offer(ticket, error.into());
        self.lost_failure(error)
    }

    fn note_answer(&self, ticket: &WorkTicket, is_failure: bool, started: Instant) {
        let mut view = self.context.view();
        view.note_result(ticket.server(), &self.request.route.name, is_failure, started.elapsed());
    }

    fn log_offer(&self, ticket: &WorkTicket, outcome: &'static str) {
        info!(
            id = self.request.attempt,
            server = ticket.id(),
            outcome,
            arrivals = self.arrivals,
            left_ms = self.request.time_left().as_millis() as u64,
            "call: offered"
        );
    }
}
