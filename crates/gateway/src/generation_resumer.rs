//! Goes on with a generation whose memory was copied.

use std::{collections::BTreeSet, sync::Arc};

use tracing::info;

use crate::{
    AttemptOutcome, CallerRequest, EngineSeat, GatewayContext, OpenAnswer, StreamProgress,
    SystemFields, WorkTicket, answer_relay, server_attempt,
};

/// Generation that goes on: its engine and the response from there.
pub struct ResumedGeneration {
    /// Reservations.
    pub seat: EngineSeat,
    /// Response from which the events are read.
    pub answer: OpenAnswer,
}

/// Result of asking an engine to go on.
pub enum ResumeResult {
    /// The generation goes on.
    Resumed(Box<ResumedGeneration>),
    /// The engine did not run the request; another one may be asked.
    NotRun,
    /// The request may have run, so that nobody else may be asked.
    Failed,
}

/// Asks the engine of `ticket` to go on from the memory that `resume_from` names.
pub async fn resume(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    ticket: WorkTicket,
    resume_from: &str,
    progress: &StreamProgress,
) -> ResumeResult {
    context.view().note_repeat(&request.service, context.clock.now());
    let seat = EngineSeat::with_backup(context, request, ticket, &BTreeSet::new());
    let backup_at = seat.backup_address();
    let last_event = progress.last_event();
    let fields = SystemFields {
        server_id: seat.engine.id(),
        resume_from: Some(resume_from),
        backup_at: backup_at.as_deref(),
        last_event,
    };
    let outcome = server_attempt::offer(context, request, &seat.engine, fields).await;
    let (result, is_run) = match outcome {
        AttemptOutcome::Answered(answer)
            if answer.head.status.is_success()
                && answer_relay::is_genuine(&context.names, &answer.head) =>
        {
            info!(id = request.attempt, server = seat.engine.id(), last_event, "stream: resumed");
            return ResumeResult::Resumed(Box::new(ResumedGeneration { seat, answer: *answer }));
        }
        AttemptOutcome::Answered(answer) => {
            answer.channel.close();
            ("failed", true)
        }
        AttemptOutcome::NotSent(error) => (error.into(), false),
        AttemptOutcome::Refused { .. } => ("refused", false),
        AttemptOutcome::Lost(error) => (error.into(), true),
    };
    info!(id = request.attempt, server = seat.engine.id(), result, "stream: not resumed");
    seat.close();
    if is_run { ResumeResult::Failed } else { ResumeResult::NotRun }
}
