//! What the store holds of a move to another version.

use crate::VersionMovePhase;

/// Status of one order. Only a status with a final phase binds; it is written under the condition
/// that the writer knew all earlier ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionMoveRecord {
    /// Name of the service.
    pub service: String,
    /// Version to move to.
    pub target: String,
    /// Phase.
    pub phase: VersionMovePhase,
    /// Offset of the order in the operators' table.
    pub order: u64,
    /// Time at which the order was first seen, in Unix milliseconds.
    pub began_at_ms: u64,
}
