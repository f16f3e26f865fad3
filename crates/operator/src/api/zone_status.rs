//! State of an availability zone.

use dragonflycart_core::ZoneState;
use serde::{Deserialize, Serialize};

/// State of an availability zone on the responding VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// State in effect.
    pub state: ZoneState,
    /// Whether the state comes from an override that was set while the log service was down, and
    /// not from the plan.
    #[serde(rename = "latched")]
    pub overridden: bool,
    /// Concurrency limit of the plan.
    #[serde(rename = "carry_limit")]
    pub concurrency_limit: u32,
    /// Share of the concurrency limit in effect; below 1 while the zone returns to service.
    pub ramp: f64,
    /// Concurrent requests of this VM in the zone.
    pub running: u32,
}
