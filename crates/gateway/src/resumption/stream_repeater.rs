//! Starts another run of a stream whose server's response was lost.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use tracing::info;

use crate::{
    AttemptOutcome, CallerRequest, GatewayContext, GenerationReservation, RepeatDenial, RepeatTime,
    ResumedGeneration, RunEnd, StreamRuns, SystemHeaders, response_relay, resumption::settle_loss,
    server_attempt,
};

/// Maximum number of servers that one continuation is offered to.
const MAX_OFFERS: u32 = 5;
/// Time between attempts to find a server with room.
const TRY_INTERVAL: Duration = Duration::from_millis(20);

/// Start of another run. The stream has begun, so it does not queue behind new requests.
pub(crate) struct StreamRepeater<'a> {
    context: &'a Arc<GatewayContext>,
    request: &'a CallerRequest,
    runs: &'a mut StreamRuns,
    /// Time at which the caller gives up.
    patience_end: Instant,
    offers: u32,
    /// Whether a retry was taken from the budget and not used.
    has_retry: bool,
}

impl<'a> StreamRepeater<'a> {
    /// Builds the start of a run for a caller that waits until `patience_end`.
    pub(crate) fn new(
        context: &'a Arc<GatewayContext>,
        request: &'a CallerRequest,
        runs: &'a mut StreamRuns,
        patience_end: Instant,
    ) -> StreamRepeater<'a> {
        StreamRepeater { context, request, runs, patience_end, offers: 0, has_retry: false }
    }

    /// Reserves a server for the run and takes a retry from the budget. Waits for room if `may_wait`.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no run.
    pub(crate) async fn reserve(
        &mut self,
        may_wait: bool,
    ) -> Result<GenerationReservation, RepeatDenial> {
        if self.request.trial_part.is_some() {
            return Err(RepeatDenial::OnTrial);
        }
        if self.offers >= MAX_OFFERS {
            return Err(RepeatDenial::NotTaken);
        }
        loop {
            self.check_time()?;
            let reservation =
                GenerationReservation::take(self.context, self.request, self.runs.tried());
            if let Some(reservation) = reservation {
                if !self.has_retry {
                    let now = self.context.clock.now();
                    self.has_retry = self.context.view().take_retry(&self.request.service, now);
                }
                return if self.has_retry { Ok(reservation) } else { Err(RepeatDenial::NoRetry) };
            }
            if !may_wait || Instant::now() >= self.patience_end {
                return Err(RepeatDenial::NoRoom);
            }
            tokio::time::sleep(TRY_INTERVAL).await;
        }
    }

    fn check_time(&self) -> Result<(), RepeatDenial> {
        let service = &self.request.service;
        let first_event = self.context.view().timing_mut(service).expected_first_event();
        let time_left = self.request.time_left();
        let left = self.context.time_to_stop().map_or(time_left, |time| time.min(time_left));
        let time = RepeatTime { left, first_event };
        self.runs.check(&self.request.route, time)
    }

    /// Sends the request to a reserved server. Returns `None` if another one may be tried.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no run.
    pub(crate) async fn offer(
        &mut self,
        reservation: GenerationReservation,
        last_event: Option<u64>,
    ) -> Result<Option<ResumedGeneration>, RepeatDenial> {
        self.offers += 1;
        let server = reservation.engine.server();
        self.runs.note_tried(server);
        let sent_at = Instant::now();
        let backup_at = reservation.backup_address();
        let fields = SystemHeaders {
            server_id: reservation.engine.id(),
            backup_at: backup_at.as_deref(),
            // The caller's own header is kept as long as it has received nothing else.
            last_event: last_event.filter(|_| last_event != self.request.last_event),
            is_begun: true,
            ..SystemHeaders::default()
        };
        let offer = server_attempt::offer(self.context, self.request, &reservation.engine, fields);
        let outcome = tokio::time::timeout_at(self.patience_end, offer).await;
        let mut result = Ok(None);
        let reason: &'static str = match outcome {
            Ok(AttemptOutcome::Answered(response)) => {
                self.runs.note_possible_run(server);
                self.has_retry = false;
                if response.head.status.is_success()
                    && response_relay::is_genuine(&self.context.names, &response.head)
                {
                    return Ok(Some(ResumedGeneration { reservation, response: *response }));
                }
                let status = response.head.status;
                let is_rejected = status.is_client_error() && !response_relay::denies_run(status);
                if is_rejected {
                    result = Err(RepeatDenial::Rejected);
                }
                response.run.close(if is_rejected { RunEnd::Good } else { RunEnd::Failed });
                response.connection.close();
                if is_rejected { "rejected" } else { "failed" }
            }
            Ok(AttemptOutcome::Lost(error)) => {
                self.runs.note_possible_run(server);
                self.has_retry = false;
                settle_loss(self.context, self.request, &reservation.engine, self.runs).await;
                error.into()
            }
            Ok(AttemptOutcome::Refused { .. }) => {
                self.runs.note_refused();
                self.has_retry = false;
                "refused"
            }
            Ok(AttemptOutcome::NotSent(error)) => error.into(),
            Ok(AttemptOutcome::ServerWithdrawn) => "withdrawn",
            Ok(AttemptOutcome::Withheld(_)) => {
                result = Err(RepeatDenial::Withheld);
                "withheld"
            }
            Err(_) => {
                self.runs.note_possible_run(server);
                result = Err(RepeatDenial::DeadlineShort);
                "timed_out"
            }
        };
        info!(
            id = self.request.attempt,
            server = reservation.engine.id(),
            result = reason,
            waited_ms = sent_at.elapsed().as_millis() as u64,
            "stream: not taken over"
        );
        reservation.close();
        result
    }
}
