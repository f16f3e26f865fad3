//! Body of the response to `GET /admin/v1/plan`.

use dragonflycart_core::{OperatingPlan, OperatorName, PlanRevision};
use serde::{Deserialize, Serialize};

/// Active plan of the responding VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanResponse {
    /// Revision; zero if no plan was accepted yet.
    pub revision: PlanRevision,
    /// Operator who submitted it, if known.
    #[serde(default)]
    pub author: Option<OperatorName>,
    /// Content of the plan.
    pub plan: OperatingPlan,
}
