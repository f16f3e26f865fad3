//! Outcome of one step of a move's state machine.

use crate::{MoveReason, MoveShares, MoveState};

/// Outcome of one step of a move's state machine: its state and what the VM must do now.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveDecision {
    /// State of the move.
    pub state: MoveState,
    /// Why the move was done or rolled back. Set only in the step in which the state changed.
    pub transition_reason: Option<MoveReason>,
    /// Shares of new requests that go to the new version.
    pub shares: MoveShares,
    /// Whether the version that lost its traffic may be unloaded: the old one if the move is done,
    /// the new one if it was rolled back.
    pub may_unload: bool,
}
