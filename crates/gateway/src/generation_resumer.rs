//! Goes on with a generation whose memory was copied.

use std::sync::Arc;

use tracing::info;

use crate::{
    AnswerHead, AttemptOutcome, CallerRequest, GatewayContext, MoveOutcome, ServerChannel,
    SystemFields, WorkTicket, answer_relay, server_attempt,
};

/// Generation that goes on: its server and the response from there.
pub struct ResumedGeneration {
    /// Reservation at the server.
    pub ticket: WorkTicket,
    /// Head of the response.
    pub head: AnswerHead,
    /// Connection from which the events are read.
    pub channel: ServerChannel,
}

/// Result of asking one server to go on.
enum ResumeStep {
    Resumed(ResumedGeneration),
    /// The server did not run the request; another one may.
    NotRun(WorkTicket),
    /// The request may have run, so that nobody else may be asked.
    Failed(WorkTicket),
}

/// Goes on with a generation after a move away from the server of `source`. The target is asked
/// first, then the source, which keeps the memory of a generation that it stopped.
///
/// # Errors
///
/// Returns the last server's ticket if the generation could not be continued.
pub async fn resume(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    source: WorkTicket,
    outcome: MoveOutcome,
    last_event: Option<u64>,
) -> Result<ResumedGeneration, WorkTicket> {
    let (handle, target) = match outcome {
        MoveOutcome::Moved { target, handle } => (handle, Some(target)),
        MoveOutcome::Stopped { handle } => (handle, None),
        MoveOutcome::Stays => return Err(source),
    };
    let resume_from = context.engines.resume_value(source.address(), &handle);
    if let Some(target) = target {
        match ask(context, request, target, &resume_from, last_event).await {
            ResumeStep::Resumed(resumed) => return Ok(resumed),
            ResumeStep::Failed(ticket) => return Err(ticket),
            ResumeStep::NotRun(ticket) => ticket.close(),
        }
    }
    match ask(context, request, source, &resume_from, last_event).await {
        ResumeStep::Resumed(resumed) => Ok(resumed),
        ResumeStep::Failed(ticket) | ResumeStep::NotRun(ticket) => Err(ticket),
    }
}

async fn ask(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    ticket: WorkTicket,
    resume_from: &str,
    last_event: Option<u64>,
) -> ResumeStep {
    context.view().note_repeat(&request.service, context.clock.now());
    let fields = SystemFields {
        server_id: ticket.id(),
        resume_from: Some(resume_from),
        last_event,
        ..SystemFields::default()
    };
    let outcome = server_attempt::offer(context, request, &ticket, fields).await;
    let (result, is_run) = match outcome {
        AttemptOutcome::Answered { head, channel }
            if head.status.is_success() && answer_relay::is_genuine(&context.names, &head) =>
        {
            info!(id = request.attempt, server = ticket.id(), last_event, "stream: resumed");
            return ResumeStep::Resumed(ResumedGeneration { ticket, head, channel });
        }
        AttemptOutcome::Answered { channel, .. } => {
            channel.close();
            ("failed", true)
        }
        AttemptOutcome::NotSent(error) => (error.into(), false),
        AttemptOutcome::Refused { .. } => ("refused", false),
        AttemptOutcome::Lost(error) => (error.into(), true),
    };
    info!(id = request.attempt, server = ticket.id(), result, "stream: not resumed");
    if is_run { ResumeStep::Failed(ticket) } else { ResumeStep::NotRun(ticket) }
}
