//! Checks whether a request's API key may be accepted.

use std::time::Duration;

use dragonflycart_core::ErrorKind;

use crate::{BootTime, CallerRequest, GatewayContext, GatewayFailure};

/// `Retry-After` time of a request that was rejected because the plan may be outdated. Another VM
/// may know the newest plan.
const OUTDATED_RETRY: Duration = Duration::from_millis(100);

/// Checks whether keys are accepted at all.
///
/// # Errors
///
/// Returns the failure to report if the plan may be outdated for too long.
pub(crate) fn check_plan(context: &GatewayContext) -> Result<(), GatewayFailure> {
    if context.freshness().allows_keys(BootTime::now()) {
        return Ok(());
    }
    Err(GatewayFailure::new(ErrorKind::LogUnavailable, "the keys may be outdated")
        .with_retry_after(OUTDATED_RETRY))
}

/// Checks the key of an accepted request again, before it is sent to a server. The plan may have
/// become outdated or may have withdrawn the key while the request waited.
///
/// # Errors
///
/// Returns the failure to report if the key is no longer accepted.
pub(crate) fn check_request(
    context: &GatewayContext,
    request: &CallerRequest,
) -> Result<(), GatewayFailure> {
    let (Some(credential), Some(team)) = (&request.credential, &request.team) else {
        return Ok(());
    };
    check_plan(context)?;
    let plan = context.view().plan().cloned();
    if plan.is_some_and(|plan| credential.is_held_by(&plan, team)) {
        return Ok(());
    }
    Err(GatewayFailure::new(ErrorKind::Unauthorized, "the key was withdrawn"))
}
