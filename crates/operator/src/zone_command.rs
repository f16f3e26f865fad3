//! The commands `zone out` and `zone in`.

use std::time::Duration;

use dragonflycart_core::{ErrorKind, PlanRevision, ZoneName, ZoneState};
use serde_json::json;

use crate::{
    AdminClient, AdminError, Console, ExitStatus, PlanSubmission, plan_command::report_outcome,
};

/// Changes the state of a zone. The tuple holds the zone, the requested state, and whether the VMs
/// may override the state if the log service is down.
pub(crate) async fn change_zone(
    console: &mut Console<'_>,
    client: &AdminClient,
    (zone, state, emergency): (ZoneName, ZoneState, bool),
    base: Option<PlanRevision>,
    outcome_timeout: Duration,
) -> ExitStatus {
    let active = match console.run_with_progress("waiting for the active plan", client.plan()).await
    {
        Ok(active) => active,
        Err(error) => return console.report_failure(&error),
    };
    let status = match console.run_with_progress("waiting for the status", client.status()).await {
        Ok(status) => status,
        Err(error) => return console.report_failure(&error),
    };
    let Some(planned) = active.plan.zones.get(&zone) else {
        let known: Vec<_> = active.plan.zones.keys().map(ZoneName::as_str).collect();
        console.diagnostic(&format!("zone {zone} is not in the active plan; {}", known.join(", ")));
        return ExitStatus::Usage;
    };
    // If the zone is overridden, a plan revision is needed even if the plan has the requested state
    // already, since only a revision ends the override.
    let overridden = status.zones.get(&zone).is_some_and(|zone_status| zone_status.overridden);
    if planned.state == state && base.is_none() && !emergency && !overridden {
        let revision = active.revision;
        console.value(&json!({ "outcome": "already_active", "revision": revision }));
        console.line(&format!("zone {zone} is {state} since revision {revision} or earlier"));
        return ExitStatus::Done;
    }
    let base = base.unwrap_or(active.revision);
    let mut wanted = status.plan_in_effect(&active.plan);
    if let Some(planned) = wanted.zones.get_mut(&zone) {
        planned.state = state;
    }
    let submission = PlanSubmission::of_zone(base, zone, state, emergency);
    let work = submission.run(client, outcome_timeout);
    match console.run_with_progress("waiting for the log to show the outcome", work).await {
        Ok(response) => report_outcome(console, &response, base, &wanted),
        Err(error) => {
            let log_is_down = matches!(
                &error,
                AdminError::Rejected(body) if body.kind == ErrorKind::LogUnavailable
            );
            if log_is_down && state == ZoneState::Out && !emergency {
                console.diagnostic(
                    "with --emergency the VMs take the zone out without the log service",
                );
            }
            console.report_failure(&error)
        }
    }
}
