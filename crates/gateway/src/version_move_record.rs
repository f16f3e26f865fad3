//! Status of a version move in the store.

use crate::{StorePosition, SuspicionRecord, VersionMovePhase};

/// Status of one version move. Only a status with a final phase is binding. A status is written
/// only if its writer has read all earlier ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionMoveRecord {
    /// Name of the service.
    pub service: String,
    /// Target version.
    pub target: String,
    /// Phase.
    pub phase: VersionMovePhase,
    /// Position of the order in the operators' table.
    pub order: StorePosition,
    /// Time at which the order was first seen, in Unix milliseconds.
    pub began_at_ms: u64,
    /// Evidence against the new version so far, for VMs that know none because they have just
    /// started.
    pub suspicion: SuspicionRecord,
}
