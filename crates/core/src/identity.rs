//! Small `Copy` identities.

use std::fmt;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// One run of an entry VM's process. A restarted process has another incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Incarnation(pub u128);

impl Incarnation {
    /// Draws a new incarnation; time-ordered, so that of two with the same seat the later wins.
    pub fn generate() -> Incarnation {
        Incarnation(Uuid::now_v7().as_u128())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Numbered place of an entry VM within its availability zone. A replacement VM gets the seat of
/// the VM that it replaces.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct VmOrdinal(pub u16);

impl fmt::Display for VmOrdinal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One run of a backend server's process. It changes when the server restarts, and with it the
/// server is cold.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ServerInstance(pub u64);

/// Position of a record in a topic of the log service.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogOffset(pub u64);

impl LogOffset {
    /// Returns the offset that follows this one.
    pub const fn next(self) -> LogOffset {
        LogOffset(self.0 + 1)
    }
}

/// Number of an accepted plan. Zero means that no plan was accepted yet.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct PlanRevision(pub u64);

impl PlanRevision {
    /// Returns the revision that follows this one.
    pub const fn next(self) -> PlanRevision {
        PlanRevision(self.0 + 1)
    }
}

impl fmt::Display for PlanRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Fencing number of an order to an engine. Ordered by plan revision, then by sequence.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct OrderFence {
    /// Plan revision that asks for the order.
    pub revision: PlanRevision,
    /// Sequence of the order within the revision.
    pub sequence: u64,
}
