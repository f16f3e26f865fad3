//! Body of `POST /admin/v1/plan`.

use dragonflycart_core::{OperatingPlan, PlanRevision};
use serde::{Deserialize, Serialize};

use crate::api::SubmitId;

/// Submission of a plan. Its author is the operator whose credential the request presents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Revision that the plan replaces.
    pub base_revision: PlanRevision,
    /// Id of the submission.
    pub submit_id: SubmitId,
    /// Content of the plan.
    pub plan: OperatingPlan,
}
