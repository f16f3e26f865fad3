//! Body of `POST /admin/v1/plan`.

use dragonflycart_core::{OperatingPlan, PlanRevision};
use serde::{Deserialize, Serialize};

use crate::api::SubmitId;

/// Proposal of a plan. The author is the operator whose credential was presented.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Revision that the plan replaces.
    pub base_revision: PlanRevision,
    /// Identity of the submission.
    pub submit_id: SubmitId,
    /// Body.
    pub plan: OperatingPlan,
}
