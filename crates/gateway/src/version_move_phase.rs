//! Phases of a version move.

use strum::{Display, FromRepr};

/// Phase of a version move. VMs in different phases converge on the highest one, unless the store
/// holds a final phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u32)]
pub enum VersionMovePhase {
    /// The new version gets a small share of the requests, as a canary, and is compared with the
    /// old one.
    Watching = 0,
    /// The new version gets all requests; the old version finishes its open requests.
    Switching = 1,
    /// Final: the new version gets all requests.
    Completed = 2,
    /// Final: the old version gets all requests.
    RolledBack = 3,
}

impl VersionMovePhase {
    /// Returns whether the version move is over.
    pub fn is_final(self) -> bool {
        self >= VersionMovePhase::Completed
    }
}
