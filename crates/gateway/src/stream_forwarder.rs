//! Forwards requests whose response is an event stream.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use dragonflycart_core::ErrorKind;
use hyper::Response;
use tracing::info;

use crate::{
    AnswerBody, AttemptOutcome, CallerRequest, ConnectionError, EngineSeat, GatewayContext,
    GatewayFailure, GenerationRelay, MoveFollower, MoveOutcome, OpenAnswer, RelaySource, ServerKey,
    StreamProgress, SystemFields, WorkTicket, answer_body, answer_relay, engine_wait,
    server_attempt,
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
    progress: Arc<StreamProgress>,
    /// Time until an engine had room.
    queued_ms: u64,
}

impl StreamForwarder {
    /// Builds the forwarding of a request.
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

    /// Has the request run and returns the response as soon as its head is known.
    ///
    /// # Errors
    ///
    /// Returns the failure that the caller is told.
    pub async fn run(mut self) -> Result<Response<AnswerBody>, GatewayFailure> {
        if self.outlasts_stop() {
            return Err(GatewayFailure::new(ErrorKind::Draining, "it would outlast this VM")
                .with_retry_after(Duration::ZERO));
        }
        let mut failure = server_attempt::not_run("no engine takes work");
        for _ in 0..OFFER_LIMIT {
            if self.request.time_left().is_zero() {
                return Err(GatewayFailure::new(ErrorKind::DeadlineNotStarted, "no time left"));
            }
            let now = self.context.clock.now();
            if self.arrivals > 0 && !self.context.view().take_repeat(&self.request.service, now) {
                break;
            }
            let Some(seat) =
                engine_wait::take_seat(&self.context, &self.request, &self.excluded).await
            else {
                failure = no_room(&self.request);
                break;
            };
            self.queued_ms = self.request.arrived.elapsed().as_millis() as u64;
            self.excluded.insert(seat.engine.server());
            let mut follower = MoveFollower::new(&self.context);
            let (seat, outcome) = self.offer_and_follow(seat, &mut follower).await;
            match outcome {
                AttemptOutcome::NotSent(error) => self.log_offer(&seat, error.into()),
                AttemptOutcome::Refused { .. } => {
                    self.arrivals += 1;
                    self.log_offer(&seat, "refused");
                    failure = GatewayFailure::new(ErrorKind::Overloaded, "all engines refused");
                }
                AttemptOutcome::Lost(error) => {
                    self.log_offer(&seat, error.into());
                    return Err(lost_failure(error));
                }
                AttemptOutcome::Answered(answer) => {
                    return self.answer(seat, follower, *answer).await;
                }
            }
            seat.close();
        }
        Err(failure)
    }

    /// Returns whether a planned stop of this VM is expected to cut the stream. Another VM can
    /// serve it at once.
    fn outlasts_stop(&self) -> bool {
        let Some(left) = self.context.time_to_stop() else { return false };
        let CallerRequest { service, demand, .. } = &self.request;
        !self.context.view().ends_within(service, *demand, left)
    }

    /// Offers the request, and goes on at another engine if this one leaves or breaks off before
    /// the response starts.
    async fn offer_and_follow(
        &self,
        seat: EngineSeat,
        follower: &mut MoveFollower,
    ) -> (EngineSeat, AttemptOutcome) {
        let outcome = {
            let backup_at = seat.backup_address();
            let fields = SystemFields {
                server_id: seat.engine.id(),
                backup_at: backup_at.as_deref(),
                ..SystemFields::default()
            };
            let offer = server_attempt::offer(&self.context, &self.request, &seat.engine, fields);
            tokio::pin!(offer);
            loop {
                tokio::select! {
                    biased;
                    outcome = &mut offer => break Err(outcome),
                    moved = follower.next(&self.request, &seat, &self.progress) => match moved {
                        MoveOutcome::Stays => {}
                        MoveOutcome::Gone => {
                            break Err(AttemptOutcome::Lost(ConnectionError::Closed));
                        }
                        MoveOutcome::Resumed(resumed) => break Ok(resumed),
                    }
                }
            }
        };
        let resumed = match outcome {
            Ok(resumed) => resumed,
            Err(AttemptOutcome::Lost(error)) if error != ConnectionError::TimedOut => {
                match follower.recover(&self.request, &seat, &self.progress).await {
                    MoveOutcome::Resumed(resumed) => resumed,
                    MoveOutcome::Stays | MoveOutcome::Gone => {
                        return (seat, AttemptOutcome::Lost(error));
                    }
                }
            }
            Err(outcome) => return (seat, outcome),
        };
        seat.close();
        *follower = MoveFollower::new(&self.context);
        (resumed.seat, AttemptOutcome::Answered(Box::new(resumed.answer)))
    }

    async fn answer(
        self,
        seat: EngineSeat,
        follower: MoveFollower,
        answer: OpenAnswer,
    ) -> Result<Response<AnswerBody>, GatewayFailure> {
        let OpenAnswer { head, mut channel } = answer;
        let names = self.context.names;
        if !answer_relay::is_genuine(&names, &head) {
            self.log_offer(&seat, "not_genuine");
            channel.close();
            return Err(GatewayFailure::new(ErrorKind::Interrupted, "the answer isn't genuine"));
        }
        if !head.status.is_success() {
            self.log_offer(&seat, "failed");
            let body = channel.read_body(FAILURE_LIMIT_BYTES);
            let body = tokio::time::timeout_at(self.request.deadline, body).await;
            // A 503 without the statement that the request did not run must not be taken for one.
            let Ok(Ok(body)) = body else {
                channel.close();
                return Err(GatewayFailure::new(ErrorKind::BackendFailed, "the engine failed"));
            };
            self.context.pool.put_back(seat.engine.address(), channel);
            if matches!(head.status.as_u16(), 408 | 421 | 429 | 503) {
                return Err(GatewayFailure::new(ErrorKind::BackendFailed, "the engine failed"));
            }
            return Ok(answer_relay::build(&names, &head, answer_body::full(body)));
        }
        self.log_offer(&seat, "answered");
        let (sender, body) = answer_body::channel(PIECES_QUEUED);
        let response = answer_relay::build(&names, &head, body);
        let source = RelaySource { seat, follower, channel };
        let relay =
            GenerationRelay::new(&self.context, self.request, source, self.progress, sender);
        tokio::spawn(relay.run());
        Ok(response)
    }

    fn log_offer(&self, seat: &EngineSeat, outcome: &'static str) {
        info!(
            id = self.request.attempt,
            server = seat.engine.id(),
            backup = seat.backup.as_ref().map(WorkTicket::id),
            outcome,
            arrivals = self.arrivals,
            seen_tokens = seat.engine.seen_load().memory_tokens(),
            seen_unread = seat.engine.seen_load().unread_tokens,
            queued_ms = self.queued_ms,
            waited_ms = self.request.arrived.elapsed().as_millis() as u64,
            "stream: offered"
        );
    }
}

/// Returns the failure of a request for which no engine had room, and which was not sent.
fn no_room(request: &CallerRequest) -> GatewayFailure {
    GatewayFailure::new(ErrorKind::Overloaded, "no engine had room")
        .with_retry_after(request.route.latency_target)
}

fn lost_failure(error: ConnectionError) -> GatewayFailure {
    match error {
        ConnectionError::TimedOut => {
            GatewayFailure::new(ErrorKind::DeadlineExceeded, "the engine did not answer")
        }
        _ => GatewayFailure::new(ErrorKind::Interrupted, "the engine's answer was lost"),
    }
}
