//! Outcome of a submission.

use dragonflycart_core::{OperatingPlan, OperatorName, PlanRevision};
use serde::{Deserialize, Serialize};

/// Outcome of a submission, as determined by the order of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum SubmitResponse {
    /// The log contains the submission, and it was the first one with its base revision. A repeated
    /// submission gets the same response. Status 200.
    Accepted {
        /// Revision that the submission created.
        revision: PlanRevision,
    },
    /// The base revision is no longer the current one. Status 409.
    Conflict {
        /// Current revision.
        revision: PlanRevision,
        /// Operator who submitted the current revision, if known.
        author: Option<OperatorName>,
        /// Content of the current revision.
        plan: OperatingPlan,
    },
    /// The state of a zone was overridden on the VMs because the log service is down. The override
    /// is in effect until a later plan revision sets the state of the zone. Status 200.
    #[serde(rename = "latched")]
    Overridden,
    /// It is not known yet whether the log contains the submission; the client has to query it by
    /// its id. Status 202.
    Unknown,
    /// The log, read to its end, does not contain the submission. An append that is in flight may
    /// still add it; submitting it again is safe. Status 404.
    NotSeen,
}

impl SubmitResponse {
    /// Returns the HTTP status code of the response.
    pub fn status(&self) -> u16 {
        match self {
            SubmitResponse::Accepted { .. } | SubmitResponse::Overridden => 200,
            SubmitResponse::Conflict { .. } => 409,
            SubmitResponse::Unknown => 202,
            SubmitResponse::NotSeen => 404,
        }
    }
}
