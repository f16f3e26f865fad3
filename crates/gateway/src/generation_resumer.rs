//! Resumes a generation on an engine that has its memory.

use std::{collections::BTreeSet, sync::Arc};

use tokio::time::Instant;
use tracing::info;

use crate::{
    AttemptOutcome, CallerRequest, GatewayContext, GenerationReservation, OpenResponse, RunEnd,
    ServerReservation, StreamPhase, StreamProgress, SystemHeaders,
    moves::{ResumePermit, ResumeSource},
    response_relay, server_attempt,
};

/// Resumed generation: its engine and the response from there.
pub struct ResumedGeneration {
    /// Reserved load of the generation.
    pub reservation: GenerationReservation,
    /// Response that the events are read from.
    pub response: OpenResponse,
}

/// Result of an attempt to resume a generation.
pub(crate) enum ResumeResult {
    /// The generation was resumed.
    Resumed(Box<ResumedGeneration>),
    /// The engine did not run the request; another one may be tried. Holds the permit if nothing was
    /// sent.
    NotRun(Option<ResumePermit>),
    /// The engine may have run the request, so no other one may be tried.
    Failed,
}

/// Asks a reserved engine to resume a generation from `source`.
pub(crate) async fn resume(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    engine: ServerReservation,
    source: ResumeSource<'_>,
    progress: &StreamProgress,
    permit: ResumePermit,
) -> ResumeResult {
    let reservation =
        GenerationReservation::with_backup(context, request, engine, &BTreeSet::new());
    let backup_at = reservation.backup_address();
    let last_event = progress.last_event();
    let fields = SystemHeaders {
        server_id: reservation.engine.id(),
        resume_from: Some(source.resume_from),
        backup_at: backup_at.as_deref(),
        last_event,
        is_return: permit.is_return(),
        is_begun: progress.is_begun(),
    };
    progress.enter(StreamPhase::Resuming);
    let sent_at = Instant::now();
    info!(
        id = request.attempt,
        server = reservation.engine.id(),
        last_event,
        source = <&str>::from(source.stopped.state()),
        "stream: resuming"
    );
    let outcome = server_attempt::offer(context, request, &reservation.engine, fields).await;
    let waited_ms = sent_at.elapsed().as_millis() as u64;
    let (reason, result): (&'static str, _) = match outcome {
        AttemptOutcome::Answered(response)
            if response.head.status.is_success()
                && response_relay::is_genuine(&context.names, &response.head) =>
        {
            info!(
                id = request.attempt,
                server = reservation.engine.id(),
                last_event,
                waited_ms,
                "stream: resumed"
            );
            return ResumeResult::Resumed(Box::new(ResumedGeneration {
                reservation,
                response: *response,
            }));
        }
        AttemptOutcome::Answered(response) => {
            response.run.close(RunEnd::Failed);
            response.connection.close();
            ("failed", ResumeResult::Failed)
        }
        AttemptOutcome::NotSent(error) => (error.into(), ResumeResult::NotRun(Some(permit))),
        AttemptOutcome::Withheld(_) => ("withheld", ResumeResult::NotRun(Some(permit))),
        AttemptOutcome::ServerWithdrawn => ("withdrawn", ResumeResult::NotRun(Some(permit))),
        AttemptOutcome::Refused { .. } => ("refused", ResumeResult::NotRun(None)),
        AttemptOutcome::Lost(error) => (error.into(), ResumeResult::Failed),
    };
    info!(
        id = request.attempt,
        server = reservation.engine.id(),
        result = reason,
        waited_ms,
        "stream: not resumed"
    );
    reservation.close();
    result
}
