//! Request for one generation, as sent to an engine.

use dragonflycart_core::{ModelName, RouteName, TeamName, VersionName};
use serde::{Deserialize, Serialize};

/// Request for one generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// Identity of the generation, echoed in every event.
    pub generation: String,
    /// Number of the attempt; a continuation on another engine has a higher epoch.
    pub epoch: u32,
    /// Model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Prompt text.
    pub prompt: String,
    /// Token ids that were already delivered; the engine continues after them.
    pub forced_prefix: Vec<u32>,
    /// Most tokens to generate, the forced prefix included.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Scheduling priority; higher values are preempted later.
    pub priority: u8,
    /// Team on whose behalf the generation runs.
    pub team: TeamName,
    /// Kind of request.
    pub route: RouteName,
    /// Seat and zone of the entry VM that holds a cold-start slot for this request, if any.
    #[serde(rename = "seat")]
    pub ordinal: Option<String>,
}
