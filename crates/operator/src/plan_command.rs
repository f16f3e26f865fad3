//! The commands `plan check`, `plan diff`, `plan submit` and `plan show`.

use std::{path::PathBuf, time::Duration};

use dragonflycart_core::{OperatingPlan, PlanRevision, WallTime};
use serde_json::json;

use crate::{
    AdminClient, AdminError, Console, ExitStatus, PlanDifference, PlanSheet, PlanSubmission,
    SheetContext,
    api::{PlanResponse, SubmitResponse},
};

/// Clock difference between the operator's machine and the server above which the operator is
/// warned. Times in the plan are checked against the server's clock.
const CLOCK_TOLERANCE_MS: u64 = 5_000;

/// Arguments of the plan commands.
pub(crate) struct PlanCommand {
    pub(crate) client: Option<AdminClient>,
    pub(crate) file: PathBuf,
    pub(crate) base: Option<PlanRevision>,
    pub(crate) outcome_timeout: Duration,
    pub(crate) now: fn() -> WallTime,
}

impl PlanCommand {
    pub(crate) async fn run(&self, command: &str, console: &mut Console<'_>) -> ExitStatus {
        if command == "check" && self.client.is_none() {
            console.diagnostic("zones and models are not checked: no --server was given");
            let context = SheetContext::offline((self.now)());
            return match self.read_sheet(console, &context) {
                Ok(plan) => self.report_checked(console, &plan),
                Err(status) => status,
            };
        }
        let Some(client) = &self.client else { return ExitStatus::Usage };
        let result = match command {
            "check" => self.check(console, client).await,
            "diff" => self.diff(console, client).await,
            "submit" => self.submit(console, client).await,
            _ => show(console, client).await,
        };
        result.unwrap_or_else(|error| console.report_failure(&error))
    }

    async fn check(
        &self,
        console: &mut Console<'_>,
        client: &AdminClient,
    ) -> Result<ExitStatus, AdminError> {
        let (context, _) = self.fetch_context(console, client).await?;
        Ok(match self.read_sheet(console, &context) {
            Ok(plan) => self.report_checked(console, &plan),
            Err(status) => status,
        })
    }

    fn report_checked(&self, console: &mut Console<'_>, plan: &OperatingPlan) -> ExitStatus {
        console.value(&json!({ "problems": [], "plan": plan }));
        console.line(&format!(
            "{}: no faults; {} zones, {} placements, {} moves",
            self.file.display(),
            plan.zones.len(),
            plan.placements.len(),
            plan.moves.len()
        ));
        ExitStatus::Done
    }

    async fn diff(
        &self,
        console: &mut Console<'_>,
        client: &AdminClient,
    ) -> Result<ExitStatus, AdminError> {
        let (context, active) = self.fetch_context(console, client).await?;
        let plan = match self.read_sheet(console, &context) {
            Ok(plan) => plan,
            Err(status) => return Ok(status),
        };
        let differences = PlanDifference::between(&active.plan, &plan);
        console.value(&json!({ "base_revision": active.revision, "differences": differences }));
        if differences.is_empty() {
            console.line(&format!("no difference from revision {}", active.revision));
        } else {
            let title = format!("differences from revision {}", active.revision);
            console.table(&title, &PlanDifference::table(&differences, ["ACTIVE", "FILE"]));
        }
        Ok(ExitStatus::Done)
    }

    async fn submit(
        &self,
        console: &mut Console<'_>,
        client: &AdminClient,
    ) -> Result<ExitStatus, AdminError> {
        let (context, active) = self.fetch_context(console, client).await?;
        let plan = match self.read_sheet(console, &context) {
            Ok(plan) => plan,
            Err(status) => return Ok(status),
        };
        let base = self.base.unwrap_or(active.revision);
        if self.base.is_none() && PlanDifference::between(&active.plan, &plan).is_empty() {
            let revision = active.revision;
            console.value(&json!({ "outcome": "already_active", "revision": revision }));
            console.line(&format!("already active as revision {revision}; nothing submitted"));
            return Ok(ExitStatus::Done);
        }
        let submission = PlanSubmission::of_plan(base, plan.clone());
        console.diagnostic(&format!("submitting {} on revision {base}", submission.id()));
        let work = submission.run(client, self.outcome_timeout);
        let response =
            console.run_with_progress("waiting for the log to show the outcome", work).await?;
        Ok(report_outcome(console, &response, base, &plan))
    }

    /// Fetches the context for checking a plan file, and the active plan.
    async fn fetch_context(
        &self,
        console: &mut Console<'_>,
        client: &AdminClient,
    ) -> Result<(SheetContext, PlanResponse), AdminError> {
        let status = console.run_with_progress("waiting for the status", client.status()).await?;
        let active =
            console.run_with_progress("waiting for the active plan", client.plan()).await?;
        let now = (self.now)();
        if now.since(status.now).max(status.now.since(now)).as_millis()
            > u128::from(CLOCK_TOLERANCE_MS)
        {
            console
                .diagnostic("the clocks of this machine and the server differ; using the server's");
        }
        let context = SheetContext {
            now: status.now,
            zones: Some(status.zones.keys().cloned().collect()),
            models: Some(status.models.clone()),
            active: status.plan_in_effect(&active.plan),
        };
        Ok((context, active))
    }

    fn read_sheet(
        &self,
        console: &mut Console<'_>,
        context: &SheetContext,
    ) -> Result<OperatingPlan, ExitStatus> {
        let bytes = std::fs::read(&self.file).map_err(|error| {
            console.diagnostic(&format!("{} can't be read: {error}", self.file.display()));
            ExitStatus::Faults
        })?;
        PlanSheet::read(&bytes, context).map_err(|problems| {
            console.value(&json!({ "problems": problems }));
            for problem in &problems {
                console.line(&format!("{}: {problem}", self.file.display()));
            }
            console.diagnostic(&format!("{} faults in {}", problems.len(), self.file.display()));
            ExitStatus::Faults
        })
    }
}

/// Reports the outcome of a submission. It is reported as accepted only if the log contains it.
pub(crate) fn report_outcome(
    console: &mut Console<'_>,
    response: &SubmitResponse,
    base: PlanRevision,
    own: &OperatingPlan,
) -> ExitStatus {
    match response {
        SubmitResponse::Accepted { revision } => {
            console.value(response);
            console.line(&format!("accepted as revision {revision}"));
            ExitStatus::Done
        }
        SubmitResponse::Overridden => {
            console.value(response);
            console.line("latched on the VMs: the log service is down, no plan revision was made");
            ExitStatus::Done
        }
        SubmitResponse::Conflict { revision, author, plan } => {
            let differences = PlanDifference::between(plan, own);
            let author = author.as_ref().map_or("unknown", |author| author.as_str());
            console.value(&json!({
                "outcome": "conflict",
                "base_revision": base,
                "revision": revision,
                "author": author,
                "differences": differences,
            }));
            let title = format!(
                "not accepted: revision {revision} by {author} replaced revision {base} first"
            );
            console.table(&title, &PlanDifference::table(&differences, ["ACTIVE", "YOURS"]));
            if differences.is_empty() {
                console.line("the active plan has the same content as yours");
            }
            ExitStatus::Conflict
        }
        SubmitResponse::Unknown | SubmitResponse::NotSeen => {
            console.value(&json!({ "outcome": "unknown", "base_revision": base }));
            console.diagnostic(&format!(
                "the outcome is unknown; repeat the command with --base {base}, which has no \
                 second effect"
            ));
            ExitStatus::Unknown
        }
    }
}

async fn show(console: &mut Console<'_>, client: &AdminClient) -> Result<ExitStatus, AdminError> {
    let response = console.run_with_progress("waiting for the active plan", client.plan()).await?;
    console.value(&response);
    let author = response.author.as_ref().map_or("unknown", |author| author.as_str());
    let title = format!("revision {} by {author}", response.revision);
    console.table(&title, &PlanDifference::plan_table(&response.plan));
    Ok(ExitStatus::Done)
}
