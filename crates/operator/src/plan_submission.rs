//! Submission of a change until its outcome is known.

use std::time::Duration;

use dragonflycart_core::{OperatingPlan, PlanRevision, ZoneName, ZoneState};
use tokio::time::{Instant, sleep};

use crate::{
    AdminClient, AdminError,
    api::{SubmitId, SubmitRequest, SubmitResponse, ZoneRequest},
};

/// Interval at which the outcome is polled.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A change and its submission id. The id makes the submission idempotent: if a response is lost,
/// the outcome is queried by id, and a submission that the log does not contain is repeated with
/// the same id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanSubmission {
    /// A whole plan.
    Plan(SubmitRequest),
    /// The state of one availability zone.
    Zone(ZoneName, ZoneRequest),
}

impl PlanSubmission {
    /// Creates the submission of a plan.
    pub fn of_plan(base_revision: PlanRevision, plan: OperatingPlan) -> PlanSubmission {
        let submit_id = SubmitId::of_plan(base_revision, &plan);
        PlanSubmission::Plan(SubmitRequest { base_revision, submit_id, plan })
    }

    /// Creates the submission of a change of a zone's state.
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

    /// Returns the submission id.
    pub fn id(&self) -> &SubmitId {
        match self {
            PlanSubmission::Plan(request) => &request.submit_id,
            PlanSubmission::Zone(_, request) => &request.submit_id,
        }
    }

    /// Submits the change and polls its outcome for at most `outcome_timeout`. Returns `Unknown` if
    /// the outcome is not known by then.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if nothing can have been submitted: no VM could be reached, or the
    /// request was rejected.
    pub async fn run(
        &self,
        client: &AdminClient,
        outcome_timeout: Duration,
    ) -> Result<SubmitResponse, AdminError> {
        let deadline = Instant::now() + outcome_timeout;
        let mut maybe_submitted = false;
        loop {
            match self.submit_once(client).await {
                Ok(SubmitResponse::Unknown | SubmitResponse::NotSeen) => maybe_submitted = true,
                Ok(response) => return Ok(self.confirm(client, response).await),
                Err(error) if error.maybe_run() => maybe_submitted = true,
                Err(error) if maybe_submitted => {
                    log::debug!("plan: retry failed: {error}");
                }
                Err(error) => return Err(error),
            }
            if let Some(response) = self.wait_for_outcome(client, deadline).await {
                return Ok(response);
            }
            if Instant::now() >= deadline {
                return Ok(SubmitResponse::Unknown);
            }
        }
    }

    /// Checks whether the submission conflicts only with itself. This happens if an earlier attempt
    /// was accepted but its response was lost, and the VM that reports the conflict received the
    /// plan from a peer before it read the log up to it. Any VM that has read the log up to there
    /// can confirm the submission.
    async fn confirm(&self, client: &AdminClient, response: SubmitResponse) -> SubmitResponse {
        if !matches!(response, SubmitResponse::Conflict { .. }) {
            return response;
        }
        for server in client.servers() {
            let outcome = client.for_server(*server).submission(self.id()).await;
            if let Ok(accepted @ SubmitResponse::Accepted { .. }) = outcome {
                return accepted;
            }
        }
        response
    }

    async fn submit_once(&self, client: &AdminClient) -> Result<SubmitResponse, AdminError> {
        match self {
            PlanSubmission::Plan(request) => client.submit(request).await,
            PlanSubmission::Zone(zone, request) => client.change_zone(zone, request).await,
        }
    }

    /// Polls the outcome until it is known. Returns `None` if the log does not contain the
    /// submission or `deadline` has passed.
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
                Ok(response) => return Some(response),
            }
        }
    }
}
