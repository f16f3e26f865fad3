//! Reasons for a wait.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

/// Reason for which a request would wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// Requests of this VM go first.
    OthersFirst,
    /// So many requests of this VM wait that its place among them is not determined.
    ManyWaiting,
    /// It leaves the room to more urgent requests of other VMs.
    GivesWay,
    /// No engine has room.
    NoRoom,
    /// No server accepts requests.
    NoServer,
    /// No server has a free slot.
    NoFreeSlot,
}
