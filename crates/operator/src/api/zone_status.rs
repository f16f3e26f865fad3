//! State of an availability zone.

use dragonflycart_core::ZoneState;
use serde::{Deserialize, Serialize};

/// State of an availability zone on the VM that answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// State in effect.
    pub state: ZoneState,
    /// Whether the state comes from a latch that was set while the log service was down, and not
    /// from the plan.
    #[serde(rename = "latched")]
    pub overridden: bool,
    /// Carry limit of the plan, in concurrent requests.
    #[serde(rename = "carry_limit")]
    pub concurrency_limit: u32,
    /// Share of the carry limit in effect, below 1 while the zone returns to service.
    pub ramp: f64,
    /// Concurrent requests that this VM has placed in the zone.
    pub running: u32,
}
