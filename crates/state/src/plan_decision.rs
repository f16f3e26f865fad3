//! Decision about a submitted plan.

use dragonflycart_core::PlanRevision;

/// Decision about a submitted plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanDecision {
    /// The proposal was accepted as this revision.
    Accepted {
        /// Revision of the plan.
        revision: PlanRevision,
    },
    /// Another proposal on the same base revision was accepted first.
    Rejected {
        /// Author of the proposal that won.
        winner: String,
        /// Revision of the proposal that won.
        revision: PlanRevision,
    },
    /// The proposal was not read from the log yet, or was decided long ago.
    NotKnown,
}
