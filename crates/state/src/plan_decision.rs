//! What an operator is told about a submission.

use dragonflycart_core::PlanRevision;

/// Decision about a submitted plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanDecision {
    /// The proposal is in force as this revision, or was until a later one.
    Accepted {
        /// Revision of the plan.
        revision: PlanRevision,
    },
    /// Another proposal followed on the same base first.
    Rejected {
        /// Author of the proposal that won.
        winner: String,
        /// Revision of the proposal that won.
        revision: PlanRevision,
    },
    /// The proposal was not read from the log yet, or was decided long ago.
    NotKnown,
}
