//! Event counts of one VM.

use dragonflycart_core::{VmOrdinal, WallTime, ZoneName};
use serde::{Deserialize, Serialize};

use crate::ObjectiveSnapshot;

/// Event counts of one VM; the body of the response to `GET /admin/v1/burn`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnSnapshot {
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Ordinal of the VM within its zone.
    #[serde(rename = "seat")]
    pub ordinal: VmOrdinal,
    /// Incarnation of the VM's process, in hexadecimal. A report counts each incarnation once, even
    /// if the same process was queried at two addresses.
    pub incarnation: String,
    /// Start of the process. Events before it are not counted.
    pub started_at: WallTime,
    /// Time of the snapshot.
    pub taken_at: WallTime,
    /// Counts per objective.
    pub objectives: Vec<ObjectiveSnapshot>,
}
