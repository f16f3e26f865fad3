//! Progress of a move to another version.

use strum::{Display, FromRepr};

/// Phase of a move. VMs that differ agree on the higher one, unless the store holds a final one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u32)]
pub enum VersionMovePhase {
    /// The new version gets a small share, and is compared with the old one.
    Watching = 0,
    /// The new version gets all requests; the old one finishes what it has.
    Switching = 1,
    /// The new version is the only one.
    Completed = 2,
    /// The old version is the only one.
    RolledBack = 3,
}

impl VersionMovePhase {
    /// Returns whether the move is over.
    pub fn is_final(self) -> bool {
        self >= VersionMovePhase::Completed
    }
}
