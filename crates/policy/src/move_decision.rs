//! What a VM does about a move.

use crate::{MoveReason, MoveShares, MoveState};

/// What a VM does about a move now.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveDecision {
    /// State of the move.
    pub state: MoveState,
    /// Set in the decision that enters a state other than running: why.
    pub transition_reason: Option<MoveReason>,
    /// Shares of new requests that go to the new version.
    pub shares: MoveShares,
    /// Whether the old version (if done) or the new version (if rolled back) is no longer needed.
    pub may_unload: bool,
}
