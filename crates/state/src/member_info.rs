//! What is known of a member.

use dragonflycart_core::{Incarnation, MonoTime, PlanRevision, VmOrdinal};

/// What is known of another entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberInfo {
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Seat in its availability zone.
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
    /// Time of the last sign of life on this VM's clock.
    pub last_seen: MonoTime,
}
