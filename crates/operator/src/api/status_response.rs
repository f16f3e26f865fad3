//! Body of the response to `GET /admin/v1/status`.

use std::collections::{BTreeMap, BTreeSet};

use dragonflycart_core::{ModelName, OperatingPlan, PlanRevision, WallTime, ZoneName};
use serde::{Deserialize, Serialize};

use crate::api::{BackendStatus, MemberStatus, MoveStatus, VmIdentity, VmState, ZoneStatus};

/// Status of the deployment, as one VM knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The responding VM.
    pub vm: VmIdentity,
    /// Its phase.
    pub state: VmState,
    /// Its wall clock, so that a client can detect a wrong clock on either side.
    pub now: WallTime,
    /// Its plan revision.
    pub plan_revision: PlanRevision,
    /// Whether its last request to the log service succeeded.
    pub log_reachable: bool,
    /// Availability zones of its settings.
    pub zones: BTreeMap<ZoneName, ZoneStatus>,
    /// Models of its settings.
    pub models: BTreeSet<ModelName>,
    /// Backend servers.
    pub backends: Vec<BackendStatus>,
    /// Other entry VMs.
    pub members: Vec<MemberStatus>,
    /// Version moves.
    pub moves: Vec<MoveStatus>,
}

impl StatusResponse {
    /// Returns `plan` with zone overrides applied. A new plan revision ends an override, so it has
    /// to be based on the overridden state and not on the older state of the plan.
    pub fn plan_in_effect(&self, plan: &OperatingPlan) -> OperatingPlan {
        let mut plan = plan.clone();
        for (zone, status) in &self.zones {
            if !status.overridden {
                continue;
            }
            if let Some(planned) = plan.zones.get_mut(zone) {
                planned.state = status.state;
            }
        }
        plan
    }
}
