//! Body of `POST /admin/v1/zones/{zone}`.

use dragonflycart_core::{PlanRevision, ZoneState};
use serde::{Deserialize, Serialize};

use crate::api::SubmitId;

/// Change of the state of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRequest {
    /// Requested state.
    pub state: ZoneState,
    /// Revision that the change is based on.
    pub base_revision: PlanRevision,
    /// Id of the submission.
    pub submit_id: SubmitId,
    /// Whether to override the zone's state on the VMs if the log service is down.
    #[serde(default)]
    pub emergency: bool,
}
