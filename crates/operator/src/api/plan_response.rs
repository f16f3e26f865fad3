//! Answer of `GET /admin/v1/plan`.

use dragonflycart_core::{OperatingPlan, OperatorName, PlanRevision};
use serde::{Deserialize, Serialize};

/// The plan in effect on the VM that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanResponse {
    /// Revision; zero if no plan was accepted yet.
    pub revision: PlanRevision,
    /// Operator who submitted it, if known.
    #[serde(default)]
    pub author: Option<OperatorName>,
    /// Body.
    pub plan: OperatingPlan,
}
