//! Submission of a change until the log shows its outcome.

use std::time::Duration;

use dragonflycart_core::{OperatingPlan, PlanRevision, ZoneName, ZoneState};
use tokio::time::{Instant, sleep};

use crate::{
    AdminClient, AdminError,
    api::{SubmitId, SubmitRequest, SubmitResponse, ZoneRequest},
};

/// Wait between questions for the outcome.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A change with its identity. Its outcome is followed until the log shows it: an answer that was
/// lost is resolved by asking for the identity, and a submission that the log does not show is
/// repeated under the same identity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanSubmission {
    /// A whole plan.
    Plan(SubmitRequest),
    /// The state of one availability zone.
    Zone(ZoneName, ZoneRequest),
}

impl PlanSubmission {
    /// Prepares the submission of a plan.
    pub fn of_plan(base_revision: PlanRevision, plan: OperatingPlan) -> PlanSubmission {
        let submit_id = SubmitId::of_plan(base_revision, &plan);
        PlanSubmission::Plan(SubmitRequest { base_revision, submit_id, plan })
    }

    /// Prepares a change of the state of a zone.
    pub fn of_zone(
        base_revision: PlanRevision,
        zone: ZoneName,
        state: ZoneState,
        emergency: bool,
    ) -> PlanSubmission {
        let submit_id = SubmitId::of_zone(base_revision, &zone, state);
        let request = ZoneRequest { state, base_revision, submit_id, emergency };
        PlanSubmission::Zone(zone, request)
    }

    /// Returns the identity.
    pub fn id(&self) -> &SubmitId {
        match self {
            PlanSubmission::Plan(request) => &request.submit_id,
            PlanSubmission::Zone(_, request) => &request.submit_id,
        }
    }

    /// Submits and follows the outcome for at most `patience`. The answer is `Unknown` if the
    /// outcome is still open then.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if nothing can have been submitted: no VM could be asked, or the
    /// request was rejected.
    pub async fn run(
        &self,
        client: &AdminClient,
        patience: Duration,
    ) -> Result<SubmitResponse, AdminError> {
        let deadline = Instant::now() + patience;
        let mut maybe_submitted = false;
        loop {
            match self.submit_once(client).await {
                Ok(SubmitResponse::Unknown | SubmitResponse::NotSeen) => maybe_submitted = true,
                Ok(answer) => return Ok(self.confirm(client, answer).await),
                Err(error) if error.maybe_run() => maybe_submitted = true,
                Err(error) if maybe_submitted => {
                    log::debug!("plan: another try failed: {error}");
                }
                Err(error) => return Err(error),
            }
            if let Some(answer) = self.wait_for_outcome(client, deadline).await {
                return Ok(answer);
            }
            if Instant::now() >= deadline {
                return Ok(SubmitResponse::Unknown);
            }
        }
    }

    /// A conflict can be with the own submission: an earlier try was accepted and its answer was
    /// lost, and the VM that answers has the plan from a peer and has not read the log up to it.
    /// Any VM that has read it decides.
    async fn confirm(&self, client: &AdminClient, answer: SubmitResponse) -> SubmitResponse {
        if !matches!(answer, SubmitResponse::Conflict { .. }) {
            return answer;
        }
        for server in client.servers() {
            let outcome = client.for_server(*server).submission(self.id()).await;
            if let Ok(accepted @ SubmitResponse::Accepted { .. }) = outcome {
                return accepted;
            }
        }
        answer
    }

    async fn submit_once(&self, client: &AdminClient) -> Result<SubmitResponse, AdminError> {
        match self {
            PlanSubmission::Plan(request) => client.submit(request).await,
            PlanSubmission::Zone(zone, request) => client.change_zone(zone, request).await,
        }
    }

    /// Asks for the outcome until it is known, the log does not show the submission, or
    /// `deadline` has passed; `None` in the last two cases.
    async fn wait_for_outcome(
        &self,
        client: &AdminClient,
        deadline: Instant,
    ) -> Option<SubmitResponse> {
        loop {
            if Instant::now() >= deadline {
                return None;
            }
            sleep(RETRY_INTERVAL).await;
            match client.submission(self.id()).await {
                Ok(SubmitResponse::NotSeen) => return None,
                Ok(SubmitResponse::Unknown) | Err(_) => {}
                Ok(answer) => return Some(answer),
            }
        }
    }
}
