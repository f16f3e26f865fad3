//! An entry VM as seen by another.

use dragonflycart_core::PlanRevision;
use serde::{Deserialize, Serialize};

use crate::api::{VmIdentity, VmState};

/// An entry VM as seen by the VM that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identity.
    pub vm: VmIdentity,
    /// Phase.
    pub state: VmState,
    /// Plan revision of its last heartbeat.
    pub plan_revision: PlanRevision,
    /// Time since its last heartbeat, in milliseconds.
    pub heard_ms_ago: u64,
}
