//! Runs one call to a plain service.
//!
//! An idempotent call is sent to a backend server, and to another one if that fails. Any other call
//! is sent only by the VM whose claim owns it according to the ledger. That VM needs the permit of
//! the claim, and returns it for another attempt only if no byte was written to a socket.

use std::sync::Arc;

use bytes::Bytes;
use dragonflycart_core::{ErrorKind, MonoTime, RequestKey, ServiceError, TeamName};
use dragonflycart_engine::{CallFailure, ServiceClient, ServiceRequest, ServiceResponse};
use dragonflycart_policy::AttemptFailure;
use dragonflycart_state::{CallKey, ClaimId, OutcomeRecord};
use log::{info, warn};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::{
    call::{CallMessage, CallSpec, ClaimDecision, ClaimRequest},
    control::{
        AttemptPace, AttemptReport, CallPlacementRequest, ControlHandle, ControlMessage,
        PlacementGrant, PlacementNotice, PlacementTicket,
    },
    generation::RunnerContext,
    node_clock::NodeClock,
    slo_events::SloEvents,
};

/// Largest response body, in bytes, that is stored in the log to be fetched again. The body of a
/// larger response is returned only to the waiting caller; the log gets the outcome without it.
const MAX_LOGGED_BODY_BYTES: usize = 64 << 10;
/// Status recorded for a call that ran but whose response is too large for the log.
const BODY_NOT_KEPT: u32 = 410;

/// Runs calls to plain services.
#[derive(Clone)]
pub(crate) struct CallRunner {
    context: RunnerContext,
    clock: NodeClock,
}

impl CallRunner {
    /// Builds a runner.
    pub(crate) fn new(context: RunnerContext, clock: NodeClock) -> CallRunner {
        CallRunner { context, clock }
    }

    /// Runs a call to completion, even if the caller disconnects in the meantime.
    ///
    /// # Errors
    ///
    /// A [`ServiceError`] whose kind tells whether the call was executed.
    pub(crate) async fn run(self, spec: CallSpec) -> Result<ServiceResponse, ServiceError> {
        let task = tokio::spawn(async move {
            let result = match (spec.idempotent, spec.key.clone()) {
                (false, Some(key)) => self.run_at_most_once(&spec, &key).await,
                _ => self.run_idempotent(&spec).await,
            };
            let events = SloEvents::new(spec.team, spec.operation).close(&result);
            self.control().send(ControlMessage::Burn(events)).await;
            result
        });
        task.await.unwrap_or_else(|_| {
            Err(ServiceError::new(ErrorKind::Internal, "the call ended without a result"))
        })
    }

    /// Returns the recorded response of a call that is not idempotent.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] if none is recorded; the call may still be in flight.
    pub(crate) async fn fetch(
        &self,
        team: &TeamName,
        key: &RequestKey,
    ) -> Result<ServiceResponse, ServiceError> {
        let key = CallKey::new(team.as_str(), key.as_str());
        let fetched = self
            .control()
            .ask(|reply| ControlMessage::Call(CallMessage::Fetch(key, reply)))
            .await?;
        fetched.map(logged_response).ok_or_else(|| {
            let message = "no outcome is recorded under this key";
            ServiceError::new(ErrorKind::OutcomeUnknown, message)
        })
    }

    fn control(&self) -> &ControlHandle {
        &self.context.control
    }

    async fn place(&self, spec: &CallSpec) -> Result<PlacementTicket, ServiceError> {
        let ask = CallPlacementRequest {
            team: spec.team.clone(),
            service: spec.service.clone(),
            operation: spec.operation.clone(),
            idempotent: spec.idempotent,
            deadline: spec.deadline,
        };
        self.control().place_call(ask).await
    }

    async fn run_idempotent(&self, spec: &CallSpec) -> Result<ServiceResponse, ServiceError> {
        let mut ticket = self.place(spec).await?;
        loop {
            let grant = next_grant(&mut ticket).await.map_err(|kind| {
                ServiceError::new(kind, "no backend server took the call in time")
            })?;
            let failure = match self.send(spec, &grant).await {
                Ok(response) => {
                    self.report_success(&ticket).await;
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            info!("call: attempt failed; server={} failure={failure}", grant.server);
            self.report_failure(&ticket, &failure).await;
        }
    }

    async fn send(
        &self,
        spec: &CallSpec,
        grant: &PlacementGrant,
    ) -> Result<ServiceResponse, CallFailure> {
        let Some(client) = self.context.servers.service(&grant.server) else {
            return Err(CallFailure::NotSent);
        };
        let request = ServiceRequest {
            request_id: Uuid::now_v7().to_string(),
            key: spec.key.clone(),
            operation: spec.operation.to_string(),
            body: spec.body.clone(),
            ordinal: Some(grant.ordinal.clone()),
            time_left: spec.deadline.since(self.clock.now()),
        };
        client.call(request).await
    }

    async fn report_success(&self, ticket: &PlacementTicket) {
        let report = AttemptReport::Finished { tokens: 0, pace: AttemptPace::default() };
        self.control().report_attempt(ticket.ticket, report).await;
    }

    async fn report_failure(&self, ticket: &PlacementTicket, failure: &CallFailure) {
        let failure = match failure {
            CallFailure::NotSent => AttemptFailure::NotSent,
            CallFailure::MaybeSent => AttemptFailure::ServerLost,
            CallFailure::MismatchedResponse => AttemptFailure::Failed,
        };
        self.control().report_attempt(ticket.ticket, AttemptReport::Failed(failure)).await;
    }

    async fn run_at_most_once(
        &self,
        spec: &CallSpec,
        key: &RequestKey,
    ) -> Result<ServiceResponse, ServiceError> {
        let call_key = CallKey::new(spec.team.as_str(), key.as_str());
        let request = ClaimRequest {
            key: call_key.clone(),
            digest: request_digest(spec),
            attempt: spec.attempt,
            deadline: spec.deadline,
        };
        let mut decision = self
            .control()
            .ask(|reply| ControlMessage::Call(CallMessage::Claim(request, reply)))
            .await
            .map_err(|error| spec.refusal(error))?;
        let claim_id = loop {
            match decision {
                ClaimDecision::Owner(claim_id) => break claim_id,
                ClaimDecision::Answered(outcome) => return Ok(logged_response(outcome)),
                ClaimDecision::Refused(error) => return Err(error),
                ClaimDecision::OwnedElsewhere(claim) => {
                    if let Some(response) = self.look_up(spec, key, &call_key, claim.owner).await {
                        return Ok(response);
                    }
                    decision = self
                        .control()
                        .ask(|reply| ControlMessage::Call(CallMessage::Await(claim.own, reply)))
                        .await
                        .map_err(|error| spec.refusal(error))?;
                }
            }
        };
        self.run_owned(spec, claim_id).await
    }

    /// Sends a call that this VM owns.
    async fn run_owned(
        &self,
        spec: &CallSpec,
        claim_id: ClaimId,
    ) -> Result<ServiceResponse, ServiceError> {
        let mut ticket = self.place(spec).await.map_err(|error| spec.refusal(error))?;
        loop {
            let grant = match next_grant(&mut ticket).await {
                Ok(grant) => grant,
                Err(kind) => return self.give_up(spec, claim_id, kind).await,
            };
            let permit = self
                .control()
                .ask(|reply| ControlMessage::Call(CallMessage::TakePermit(claim_id, reply)))
                .await
                .map_err(|error| spec.refusal(error))?;
            let Some(permit) = permit else {
                let report = AttemptReport::Cancelled(AttemptPace::default());
                self.control().report_attempt(ticket.ticket, report).await;
                return self.give_up(spec, claim_id, ErrorKind::DeadlineNotStarted).await;
            };
            match self.send(spec, &grant).await {
                Ok(response) => {
                    permit.spend();
                    self.report_success(&ticket).await;
                    self.record_outcome(claim_id, u32::from(response.status), &response.body).await;
                    return Ok(response);
                }
                Err(CallFailure::NotSent) => {
                    let message = CallMessage::ReturnPermit(permit);
                    self.control().send(ControlMessage::Call(message)).await;
                    self.report_failure(&ticket, &CallFailure::NotSent).await;
                }
                Err(failure) => {
                    permit.spend();
                    warn!("call: outcome is unknown; claim={claim_id} server={}", grant.server);
                    self.report_failure(&ticket, &failure).await;
                    return self.resolve_unknown(spec, claim_id, &grant).await;
                }
            }
        }
    }

    async fn record_outcome(&self, claim_id: ClaimId, status: u32, body: &Bytes) {
        let (status, body) = if body.len() > MAX_LOGGED_BODY_BYTES {
            (BODY_NOT_KEPT, Bytes::new())
        } else {
            (status, body.clone())
        };
        let message = CallMessage::RecordOutcome(claim_id, status, body);
        self.control().send(ControlMessage::Call(message)).await;
    }

    /// Asks the service whether the call ran, after its response was lost. Only a positive reply is
    /// conclusive, since the request may still be in flight.
    async fn resolve_unknown(
        &self,
        spec: &CallSpec,
        claim_id: ClaimId,
        grant: &PlacementGrant,
    ) -> Result<ServiceResponse, ServiceError> {
        if let Some(key) = &spec.key
            && let Some(client) = self.context.servers.service(&grant.server)
            && let Ok(Some(response)) = client.lookup(key).await
        {
            self.record_outcome(claim_id, u32::from(response.status), &response.body).await;
            return Ok(response);
        }
        self.record_outcome(claim_id, 0, &Bytes::new()).await;
        let message = "the answer was lost; the call may have run; ask again with the same key";
        Err(ServiceError::new(ErrorKind::OutcomeUnknown, message))
    }

    /// Gives up the claim and waits until it is known whether the call can be reported as not run.
    async fn give_up(
        &self,
        spec: &CallSpec,
        claim_id: ClaimId,
        kind: ErrorKind,
    ) -> Result<ServiceResponse, ServiceError> {
        let decision = self
            .control()
            .ask(|reply| ControlMessage::Call(CallMessage::GiveUp(claim_id, kind, reply)))
            .await
            .map_err(|error| spec.refusal(error))?;
        match decision {
            ClaimDecision::Answered(outcome) => Ok(logged_response(outcome)),
            ClaimDecision::Refused(error) => Err(error),
            ClaimDecision::Owner(_) | ClaimDecision::OwnedElsewhere(_) => {
                Err(ServiceError::new(ErrorKind::OutcomeUnknown, "ask again with the same key"))
            }
        }
    }

    /// Asks the servers of the service whether a call owned by another VM has run.
    async fn look_up(
        &self,
        spec: &CallSpec,
        key: &RequestKey,
        call_key: &CallKey,
        owner: ClaimId,
    ) -> Option<ServiceResponse> {
        for client in self.context.servers.service_clients(&spec.service) {
            if self.expired(spec.deadline) {
                return None;
            }
            let Some(response) = ask_lookup(&client, key).await else {
                continue;
            };
            let outcome = OutcomeRecord {
                claim_id: owner,
                status: u32::from(response.status),
                body: response.body.clone(),
                made_at: self.clock.wall(),
            };
            let message = CallMessage::Found(call_key.clone(), outcome);
            self.control().send(ControlMessage::Call(message)).await;
            return Some(response);
        }
        None
    }

    fn expired(&self, deadline: MonoTime) -> bool {
        self.clock.now() >= deadline
    }
}

async fn ask_lookup(client: &Arc<dyn ServiceClient>, key: &RequestKey) -> Option<ServiceResponse> {
    client.lookup(key).await.ok().flatten()
}

/// Waits until the placement grants a backend server. The error says why it gave up.
async fn next_grant(ticket: &mut PlacementTicket) -> Result<PlacementGrant, ErrorKind> {
    loop {
        match ticket.notices.recv().await {
            Some(PlacementNotice::Granted(grant)) => return Ok(grant),
            Some(PlacementNotice::Rejected(kind) | PlacementNotice::Cancelled(kind)) => {
                return Err(kind);
            }
            Some(PlacementNotice::Preempted) => {}
            None => return Err(ErrorKind::Draining),
        }
    }
}

fn logged_response(outcome: OutcomeRecord) -> ServiceResponse {
    let status = u16::try_from(outcome.status).unwrap_or(502);
    ServiceResponse { status, instance: None, body: outcome.body }
}

/// Returns a digest of the request, to detect a key that is reused for another request.
fn request_digest(spec: &CallSpec) -> Bytes {
    let mut hasher = Sha256::new();
    for part in [spec.service.as_str().as_bytes(), spec.operation.as_str().as_bytes(), &spec.body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    Bytes::copy_from_slice(&hasher.finalize())
}
