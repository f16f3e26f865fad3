//! All counts of one VM.

use dragonflycart_core::{VmOrdinal, WallTime, ZoneName};
use serde::{Deserialize, Serialize};

use crate::ObjectiveSnapshot;

/// All counts of one VM, the answer of `GET /admin/v1/burn`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnSnapshot {
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Seat of the VM.
    #[serde(rename = "seat")]
    pub ordinal: VmOrdinal,
    /// Incarnation of the VM's process, as hexadecimal text. A report counts each incarnation
    /// once, even if it was asked through two addresses.
    pub incarnation: String,
    /// Start of the process. Events before it are not counted.
    pub started_at: WallTime,
    /// Time of the snapshot.
    pub taken_at: WallTime,
    /// Counts per objective.
    pub objectives: Vec<ObjectiveSnapshot>,
}
