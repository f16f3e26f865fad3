//! Refuses requests whose prompt has a contained part.

use std::time::Duration;

use dragonflycart_containment::{ContainedPart, PartVerdict};
use dragonflycart_core::{ErrorKind, PromptPart};
use tracing::info;

use crate::{CallerRequest, GatewayContext, GatewayFailure};

/// Decides whether a new request may be served. Returns the part for whose trial it is admitted, if
/// any.
///
/// # Errors
///
/// Returns the failure to report if a part of the prompt is contained.
pub(crate) fn admit(
    context: &GatewayContext,
    attempt: &str,
    parts: &[PromptPart],
) -> Result<Option<PromptPart>, GatewayFailure> {
    let now = context.clock.now();
    let verdict = context.crashes().check(parts, None, now);
    match verdict {
        PartVerdict::Allowed => Ok(None),
        PartVerdict::Contained(contained) => Err(refuse(context, attempt, contained)),
        PartVerdict::TrialDue { part: contained, round } => {
            let part = contained.part;
            let turn = trial_turn(part, round);
            let vms = contained.trial_vms;
            let has_turn = vms.is_none_or(|vms| context.peers().has_turn(&turn, vms, now));
            if !has_turn || !context.crashes().begin_trial(part, round) {
                return Err(refuse(context, attempt, contained));
            }
            info!(id = attempt, %part, crashes = contained.crashes, round, vms, "prompts: trial");
            Ok(Some(part))
        }
    }
}

/// Checks an admitted request again before it waits on, is sent, repeated or moved.
///
/// # Errors
///
/// Returns the failure to report if a part of the prompt was contained in the meantime.
pub(crate) fn check_request(
    context: &GatewayContext,
    request: &CallerRequest,
) -> Result<(), GatewayFailure> {
    let now = context.clock.now();
    let verdict = context.crashes().check(&request.prompt_parts, request.trial_part, now);
    match verdict {
        PartVerdict::Allowed => Ok(()),
        PartVerdict::Contained(contained) | PartVerdict::TrialDue { part: contained, .. } => {
            Err(refuse(context, &request.attempt, contained))
        }
    }
}

fn refuse(context: &GatewayContext, attempt: &str, contained: ContainedPart) -> GatewayFailure {
    let ContainedPart { part, crashes, retry_after, .. } = contained;
    context.crashes().note_refused(part, context.clock.now());
    context.metrics.contained_requests.inc();
    info!(
        id = attempt,
        %part,
        crashes,
        retry_after_ms = retry_after.as_millis() as u64,
        "prompts: request refused"
    );
    contained_failure(retry_after)
}

fn contained_failure(retry_after: Duration) -> GatewayFailure {
    GatewayFailure::new(ErrorKind::PromptContained, "a part of the prompt crashes engines")
        .with_retry_after(retry_after)
}

/// Returns the failure with which a new request would be refused now, without counting it and
/// without beginning a trial.
pub(crate) fn would_refuse(
    context: &GatewayContext,
    parts: &[PromptPart],
) -> Option<GatewayFailure> {
    let now = context.clock.now();
    let verdict = context.crashes().check(parts, None, now);
    match verdict {
        PartVerdict::Allowed => None,
        PartVerdict::Contained(contained) => Some(contained_failure(contained.retry_after)),
        PartVerdict::TrialDue { part: contained, round } => {
            let vms = contained.trial_vms;
            let turn = trial_turn(contained.part, round);
            let has_turn = vms.is_none_or(|vms| context.peers().has_turn(&turn, vms, now));
            // The trial begins on a copy, which has no effect.
            let begins = has_turn && context.crashes().clone().begin_trial(contained.part, round);
            (!begins).then(|| contained_failure(contained.retry_after))
        }
    }
}

/// Returns the key from which the VMs that make a trial are chosen.
fn trial_turn(part: PromptPart, round: u64) -> Vec<u8> {
    [part.id().to_be_bytes(), round.to_be_bytes()].concat()
}
