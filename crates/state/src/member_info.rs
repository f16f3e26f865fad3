//! Known state of another entry VM.

use dragonflycart_core::{Incarnation, MonoTime, PlanRevision, VmOrdinal};

/// Known state of another entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Ordinal in its availability zone.
    pub ordinal: VmOrdinal,
    /// Availability zone.
    pub zone: String,
    /// Address for peer connections.
    pub address: String,
    /// Plan revision of the last heartbeat.
    pub plan_revision: PlanRevision,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether it can read the log service.
    pub log_reachable: bool,
    /// Time of the last message from it, by the clock of this VM.
    pub last_seen: MonoTime,
}
