//! State of an entry VM, as another one sees it.

use dragonflycart_core::PlanRevision;
use serde::{Deserialize, Serialize};

use crate::api::{VmIdentity, VmState};

/// State of an entry VM, as the responding VM sees it.
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
