//! Client of the administration API.

use std::net::SocketAddr;

use dragonflycart_core::{OperatingPlan, PlanRevision, ZoneName, ZoneState};
use dragonflycart_operator::api::{
    PLAN_PATH, STATUS_PATH, StatusResponse, SubmitId, SubmitRequest, SubmitResponse, ZONES_PATH,
    ZoneRequest,
};
use hyper::Method;

use crate::support::{Caller, HttpResponse};

/// Client of the administration API, with the credential of one operator.
pub(crate) struct Operator {
    caller: Caller,
    name: String,
}

impl Operator {
    /// Builds a client for operator `name` of the fixture's settings.
    pub(crate) fn new(name: &str) -> Operator {
        Operator { caller: Caller::new(name), name: name.to_owned() }
    }

    /// Returns the operator's name.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Submits a plan on revision `base`.
    pub(crate) async fn submit(
        &self,
        address: SocketAddr,
        base: u64,
        plan: &OperatingPlan,
    ) -> HttpResponse {
        self.try_submit(address, base, plan).await.unwrap()
    }

    /// Submits a plan on revision `base`; returns `None` if the VM can't be reached.
    pub(crate) async fn try_submit(
        &self,
        address: SocketAddr,
        base: u64,
        plan: &OperatingPlan,
    ) -> Option<HttpResponse> {
        let base_revision = PlanRevision(base);
        let submit_id = SubmitId::of_plan(base_revision, plan);
        let request = SubmitRequest { base_revision, submit_id, plan: plan.clone() };
        let body = serde_json::to_vec(&request).unwrap();
        self.caller.send(Method::POST, address, PLAN_PATH, &[], body).await.ok()
    }

    /// Changes the state of a zone.
    pub(crate) async fn set_zone(
        &self,
        address: SocketAddr,
        base: u64,
        zone: &ZoneName,
        state: ZoneState,
        emergency: bool,
    ) -> HttpResponse {
        let base_revision = PlanRevision(base);
        let submit_id = SubmitId::of_zone(base_revision, zone, state);
        let request = ZoneRequest { state, base_revision, submit_id, emergency };
        let body = serde_json::to_vec(&request).unwrap();
        let path = format!("{ZONES_PATH}/{zone}");
        self.caller.send(Method::POST, address, &path, &[], body).await.unwrap()
    }

    /// Reads the status of a VM.
    pub(crate) async fn status(&self, address: SocketAddr) -> Option<StatusResponse> {
        let response = self.caller.send(Method::GET, address, STATUS_PATH, &[], "").await.ok()?;
        serde_json::from_slice(&response.body).ok()
    }
}

/// Decodes the response to a submission.
pub(crate) fn submit_response(response: &HttpResponse) -> SubmitResponse {
    serde_json::from_slice(&response.body).unwrap()
}
