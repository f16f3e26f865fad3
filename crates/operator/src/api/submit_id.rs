//! Id of a submission.

use std::fmt;

use dragonflycart_core::{OperatingPlan, PlanRevision, ZoneName, ZoneState};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Number of bytes of the digest that form the id.
const ID_BYTES: usize = 16;

/// Id of a submission, derived from its content and its base revision. A repeated submission has
/// the same id and therefore no second effect.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SubmitId(pub String);

impl SubmitId {
    /// Derives the id of the submission of a plan.
    pub fn of_plan(base: PlanRevision, plan: &OperatingPlan) -> SubmitId {
        // Ordered maps and the fixed order of struct fields make the JSON deterministic. The order
        // of placements has no meaning, so they are sorted first.
        let mut plan = plan.clone();
        plan.placements.sort();
        let body = serde_json::to_vec(&plan).unwrap_or_default();
        SubmitId::digest("plan", base, &body)
    }

    /// Derives the id of a change of a zone's state.
    pub fn of_zone(base: PlanRevision, zone: &ZoneName, state: ZoneState) -> SubmitId {
        SubmitId::digest("zone", base, format!("{zone} {state}").as_bytes())
    }

    fn digest(kind: &str, base: PlanRevision, body: &[u8]) -> SubmitId {
        let mut hasher = Sha256::new();
        hasher.update(kind.as_bytes());
        hasher.update(base.0.to_be_bytes());
        hasher.update(body);
        let digest = hasher.finalize();
        SubmitId(digest.iter().take(ID_BYTES).map(|byte| format!("{byte:02x}")).collect())
    }
}

impl fmt::Display for SubmitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
