//! Forwards requests whose response is an event stream.

use std::{collections::BTreeSet, sync::Arc};

use dragonflycart_core::ErrorKind;
use hyper::Response;
use tracing::info;

use crate::{
    AnswerBody, AnswerHead, AttemptOutcome, CallerRequest, ChannelError, GatewayContext,
    GatewayFailure, GenerationRelay, MoveFollower, MoveOutcome, ServerChannel, ServerKey,
    SystemFields, WorkTicket, answer_body, answer_relay, generation_resumer, server_attempt,
};

/// Servers that are tried while none has run the request.
const OFFER_LIMIT: u32 = 5;
/// Events that wait for a caller who reads slowly.
const PIECES_QUEUED: usize = 64;
/// Largest body of a server's failure, in bytes.
const FAILURE_LIMIT_BYTES: usize = 64 * 1024;

/// Forwarding of one request.
pub struct StreamForwarder {
    context: Arc<GatewayContext>,
    request: CallerRequest,
    excluded: BTreeSet<ServerKey>,
    arrivals: u32,
}

impl StreamForwarder {
    /// Builds the forwarding of a request.
    pub fn new(context: &Arc<GatewayContext>, request: CallerRequest) -> StreamForwarder {
        StreamForwarder {
            context: Arc::clone(context),
            request,
            excluded: BTreeSet::new(),
            arrivals: 0,
        }
    }

    /// Has the request run and returns the response as soon as its head is known.
    ///
    /// # Errors
    ///
    /// Returns the failure that the caller is told.
    pub async fn run(mut self) -> Result<Response<AnswerBody>, GatewayFailure> {
        let mut failure = server_attempt::not_run("no engine takes work");
        for _ in 0..OFFER_LIMIT {
            if self.request.time_left().is_zero() {
                return Err(GatewayFailure::new(ErrorKind::DeadlineNotStarted, "no time left"));
            }
            let now = self.context.clock.now();
            if self.arrivals > 0 && !self.context.view().take_repeat(&self.request.service, now) {
                break;
            }
            let placed = self.context.view().place(&self.request.query(&self.excluded), now);
            let Ok(placement) = placed else { break };
            let ticket = WorkTicket::new(&self.context, placement);
            self.excluded.insert(ticket.server());
            let mut follower = MoveFollower::new(&self.context);
            let (ticket, outcome) = self.offer_and_follow(ticket, &mut follower).await;
            match outcome {
                AttemptOutcome::NotSent(error) => self.log_offer(&ticket, error.into()),
                AttemptOutcome::Refused { .. } => {
                    self.arrivals += 1;
                    self.log_offer(&ticket, "refused");
                    failure = GatewayFailure::new(ErrorKind::Overloaded, "all engines refused");
                }
                AttemptOutcome::Lost(error) => {
                    self.log_offer(&ticket, error.into());
                    return Err(lost_failure(error));
                }
                AttemptOutcome::Answered { head, channel } => {
                    return self.answer(ticket, follower, head, channel).await;
                }
            }
            ticket.close();
        }
        Err(failure)
    }

    /// Offers the request, and goes on at another engine if this one leaves before the response
    /// starts.
    async fn offer_and_follow(
        &self,
        ticket: WorkTicket,
        follower: &mut MoveFollower,
    ) -> (WorkTicket, AttemptOutcome) {
        let moved = {
            let fields = SystemFields { server_id: ticket.id(), ..SystemFields::default() };
            let offer = server_attempt::offer(&self.context, &self.request, &ticket, fields);
            tokio::pin!(offer);
            loop {
                tokio::select! {
                    biased;
                    outcome = &mut offer => {
                        let is_lost = matches!(outcome, AttemptOutcome::Lost(_));
                        if !is_lost || !follower.is_moving() {
                            break Err(outcome);
                        }
                        match follower.outcome().await {
                            MoveOutcome::Stays => break Err(outcome),
                            moved => break Ok(moved),
                        }
                    }
                    moved = follower.next(&self.context, &self.request, &ticket) => {
                        if !matches!(moved, MoveOutcome::Stays) {
                            break Ok(moved);
                        }
                    }
                }
            }
        };
        let moved = match moved {
            Err(outcome) => return (ticket, outcome),
            Ok(moved) => moved,
        };
        let resumed =
            generation_resumer::resume(&self.context, &self.request, ticket, moved, None).await;
        match resumed {
            Ok(resumed) => {
                let outcome =
                    AttemptOutcome::Answered { head: resumed.head, channel: resumed.channel };
                (resumed.ticket, outcome)
            }
            Err(ticket) => (ticket, AttemptOutcome::Lost(ChannelError::Closed)),
        }
    }

    async fn answer(
        self,
        ticket: WorkTicket,
        follower: MoveFollower,
        head: AnswerHead,
        mut channel: ServerChannel,
    ) -> Result<Response<AnswerBody>, GatewayFailure> {
        let names = self.context.names;
        if !answer_relay::is_genuine(&names, &head) {
            self.log_offer(&ticket, "not_genuine");
            channel.close();
            return Err(GatewayFailure::new(ErrorKind::Interrupted, "the answer isn't genuine"));
        }
        if !head.status.is_success() {
            self.log_offer(&ticket, "failed");
            let body = channel.read_body(FAILURE_LIMIT_BYTES);
            let body = tokio::time::timeout_at(self.request.deadline, body).await;
            // A 503 without the statement that the request did not run must not be taken for one.
            let Ok(Ok(body)) = body else {
                channel.close();
                return Err(GatewayFailure::new(ErrorKind::BackendFailed, "the engine failed"));
            };
            self.context.pool.put_back(ticket.address(), channel);
            if matches!(head.status.as_u16(), 408 | 421 | 429 | 503) {
                return Err(GatewayFailure::new(ErrorKind::BackendFailed, "the engine failed"));
            }
            return Ok(answer_relay::build(&names, &head, answer_body::full(body)));
        }
        self.log_offer(&ticket, "answered");
        let (sender, body) = answer_body::channel(PIECES_QUEUED);
        let response = answer_relay::build(&names, &head, body);
        let relay =
            GenerationRelay::new(&self.context, self.request, ticket, follower, channel, sender);
        tokio::spawn(relay.run());
        Ok(response)
    }

    fn log_offer(&self, ticket: &WorkTicket, outcome: &'static str) {
        info!(
            id = self.request.attempt,
            server = ticket.id(),
            outcome,
            arrivals = self.arrivals,
            waited_ms = self.request.arrived.elapsed().as_millis() as u64,
            "stream: offered"
        );
    }
}

fn lost_failure(error: ChannelError) -> GatewayFailure {
    match error {
        ChannelError::TimedOut => {
            GatewayFailure::new(ErrorKind::DeadlineExceeded, "the engine did not answer")
        }
        _ => GatewayFailure::new(ErrorKind::Interrupted, "the engine's answer was lost"),
    }
}
