//! Request that starts a generation on an engine.

use dragonflycart_core::{ModelName, RouteName, TeamName, VersionName};
use serde::{Deserialize, Serialize};

/// Request that starts a generation on an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// Id of the generation, repeated in every event.
    pub generation: String,
    /// Number of the attempt. A continuation on another engine has a higher epoch.
    pub epoch: u32,
    /// Model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Prompt text.
    pub prompt: String,
    /// Ids of the tokens that were already delivered; the engine continues after them.
    pub forced_prefix: Vec<u32>,
    /// Largest number of output tokens, including those of the forced prefix.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Scheduling priority; requests with a higher value are preempted later.
    pub priority: u8,
    /// Team on whose behalf the generation runs.
    pub team: TeamName,
    /// Route of the request.
    pub route: RouteName,
    /// Entry VM, as "zone/ordinal", that holds a cold-start slot for this request, if any.
    #[serde(rename = "seat")]
    pub ordinal: Option<String>,
}
