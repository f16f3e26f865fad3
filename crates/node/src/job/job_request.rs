//! Deferred generation as stored in the log.

use dragonflycart_core::{ModelName, RouteName, TeamName};
use serde::{Deserialize, Serialize};

/// Deferred generation as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobRequest {
    /// Team of the caller.
    pub(crate) team: TeamName,
    /// Kind of request.
    pub(crate) route: RouteName,
    /// Model.
    pub(crate) model: ModelName,
    /// Prompt text.
    pub(crate) prompt: String,
    /// Maximum number of tokens to generate.
    pub(crate) max_tokens: u32,
    /// Sampling seed, if the caller gave one.
    pub(crate) seed: Option<u64>,
}
