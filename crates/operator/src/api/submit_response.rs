//! Outcome of a submission.

use dragonflycart_core::{OperatingPlan, OperatorName, PlanRevision};
use serde::{Deserialize, Serialize};

/// Outcome of a submission, as the order of the log shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum SubmitResponse {
    /// The log shows the submission and it was the first on its base revision. Also the answer to
    /// a repeated submission. Status 200.
    Accepted {
        /// Revision that the submission became.
        revision: PlanRevision,
    },
    /// The base revision is no longer the current one. Status 409.
    Conflict {
        /// Current revision.
        revision: PlanRevision,
        /// Operator who submitted it, if known.
        author: Option<OperatorName>,
        /// Its body.
        plan: OperatingPlan,
    },
    /// A latch was set because the log service is down; only for zones. It is in effect until a
    /// later plan revision states the zone's state. Status 200.
    #[serde(rename = "latched")]
    Overridden,
    /// The log may or may not show the submission yet; ask for its identity. Status 202.
    Unknown,
    /// The log, read to its end, does not show the submission. It may still appear if an append
    /// is under way; submitting it again is safe. Status 404.
    NotSeen,
}

impl SubmitResponse {
    /// Returns the HTTP status code of the answer.
    pub fn status(&self) -> u16 {
        match self {
            SubmitResponse::Accepted { .. } | SubmitResponse::Overridden => 200,
            SubmitResponse::Conflict { .. } => 409,
            SubmitResponse::Unknown => 202,
            SubmitResponse::NotSeen => 404,
        }
    }
}
