//! Plans submitted by operators, from the proposal to the decision in the log.

use std::time::Duration;

use bytes::Bytes;
use dragonflycart_core::{ErrorKind, MonoTime, OperatingPlan, OperatorName, ServiceError};
use dragonflycart_interfaces::LogTopic;
use dragonflycart_operator::api::{PlanResponse, SubmitId, SubmitRequest, SubmitResponse};
use dragonflycart_settings::Config;
use dragonflycart_state::PlanDecision;
use dragonflycart_wire::{PlanProposal, log_entry::Kind};

use crate::{
    admin::SubmitReply,
    control::{
        append_control::AppendControl, call_control::StepContext, plan_control::PlanControl,
    },
};

/// Time after which the operator is told that the outcome of a submission is unknown.
const DECISION_TIMEOUT: Duration = Duration::from_secs(5);

/// A submission whose decision has not been read from the log.
struct PendingSubmission {
    id: SubmitId,
    expires: MonoTime,
    reply: SubmitReply,
}

/// The submissions that wait for a decision on this VM.
#[derive(Default)]
pub(crate) struct SubmitControl {
    pending: Vec<PendingSubmission>,
}

impl SubmitControl {
    /// Proposes a plan. The reply is sent once the decision was read from the log.
    pub(crate) fn submit(
        &mut self,
        author: &OperatorName,
        request: SubmitRequest,
        reply: SubmitReply,
        (plan, appends): (&PlanControl, &mut AppendControl),
        step: StepContext,
    ) {
        if let Some(response) = known_response(plan, &request.submit_id) {
            let _ = reply.send(Ok(response));
            return;
        }
        let current = plan.revision();
        if request.base_revision < current {
            // A proposal based on an older revision can no longer be accepted. Whether it was
            // accepted earlier is known only to a VM that has read the log.
            let decided = plan.is_trusted() && step.log_lost_at.is_none();
            let response = if decided { conflict(plan) } else { SubmitResponse::Unknown };
            let _ = reply.send(Ok(response));
            return;
        }
        if !plan.accepts_base(request.base_revision) {
            let message = format!(
                "base_revision: {} was never in effect; the current one is {current}",
                request.base_revision,
            );
            let _ = reply.send(Err(ServiceError::new(ErrorKind::BadRequest, message)));
            return;
        }
        if step.log_lost_at.is_some() {
            let message = "the log service does not answer; nothing was submitted";
            let _ = reply.send(Err(ServiceError::new(ErrorKind::LogUnavailable, message)));
            return;
        }
        let proposal = PlanProposal {
            base_revision: request.base_revision.0,
            submit_id: request.submit_id.0.clone(),
            author: author.to_string(),
            body: Bytes::from(serde_json::to_vec(&request.plan).unwrap_or_default()),
            submitted_at_ms: step.wall.as_unix_millis(),
        };
        if let Err(error) = appends.push(LogTopic::Plan, Kind::PlanProposal(proposal), step.now) {
            let error = ServiceError::new(ErrorKind::LogUnavailable, error.to_string());
            let _ = reply.send(Err(error));
            return;
        }
        let expires = step.now + DECISION_TIMEOUT;
        self.pending.push(PendingSubmission { id: request.submit_id, expires, reply });
    }

    /// Replies to the submissions that were decided, and to those that waited too long.
    pub(crate) fn advance(&mut self, plan: &PlanControl, now: MonoTime) {
        let mut waiting = Vec::new();
        for submission in std::mem::take(&mut self.pending) {
            if let Some(response) = known_response(plan, &submission.id) {
                let _ = submission.reply.send(Ok(response));
                continue;
            }
            if now >= submission.expires {
                let _ = submission.reply.send(Ok(SubmitResponse::Unknown));
                continue;
            }
            waiting.push(submission);
        }
        self.pending = waiting;
    }

    /// Returns the outcome of a submission.
    pub(crate) fn outcome(&self, plan: &PlanControl, id: &SubmitId) -> SubmitResponse {
        if let Some(response) = known_response(plan, id) {
            return response;
        }
        let waits = self.pending.iter().any(|submission| submission.id == *id);
        if waits || !plan.is_trusted() { SubmitResponse::Unknown } else { SubmitResponse::NotSeen }
    }
}

fn known_response(plan: &PlanControl, id: &SubmitId) -> Option<SubmitResponse> {
    match plan.decision(&id.0) {
        PlanDecision::Accepted { revision } => Some(SubmitResponse::Accepted { revision }),
        PlanDecision::Rejected { .. } => Some(conflict(plan)),
        PlanDecision::NotKnown => None,
    }
}

fn conflict(plan: &PlanControl) -> SubmitResponse {
    let PlanResponse { revision, author, plan } = plan_response(plan);
    SubmitResponse::Conflict { revision, author, plan }
}

/// Returns the plan in effect, as shown to operators.
pub(crate) fn plan_response(plan: &PlanControl) -> PlanResponse {
    PlanResponse {
        revision: plan.revision(),
        author: OperatorName::new(plan.state().author()).ok(),
        plan: OperatingPlan::clone(&plan.plan()),
    }
}

/// Checks a plan against the settings, so that no VM gets a plan that it can't apply.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] with a message about the first problem found.
pub(crate) fn check_plan(plan: &OperatingPlan, config: &Config) -> Result<(), ServiceError> {
    let bad = |message: String| Err(ServiceError::new(ErrorKind::BadRequest, message));
    for zone in plan.zones.keys() {
        if !config.zones.contains_key(zone) {
            return bad(format!("zones: {zone} is not in the settings"));
        }
    }
    for placement in &plan.placements {
        if !plan.zones.contains_key(&placement.zone) {
            return bad(format!("placements: zone {} is not in the plan", placement.zone));
        }
        if !config.models.contains_key(&placement.model) {
            return bad(format!("placements: model {} is not in the settings", placement.model));
        }
    }
    for (move_id, planned) in &plan.moves {
        if planned.deadline <= planned.start {
            return bad(format!("moves: {move_id} ends before it starts"));
        }
        for version in [&planned.from, &planned.to] {
            let placed = plan
                .placements
                .iter()
                .any(|placement| placement.model == planned.model && placement.version == *version);
            if !placed {
                return bad(format!(
                    "moves: {move_id} needs version {version}, which is not placed"
                ));
            }
        }
    }
    Ok(())
}
