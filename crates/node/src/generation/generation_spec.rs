//! Parameters of a generation.

use dragonflycart_core::{ModelName, MonoTime, RequestKey, RouteName, TeamName};

/// Assumed number of characters per prompt token. English text has about four. The estimate is used
/// only to forecast memory use and is corrected by load reports.
const CHARACTERS_PER_TOKEN: usize = 4;

/// Parameters of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct GenerationSpec {
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
    /// Sampling seed.
    pub(crate) seed: u64,
    /// Key that determines the model version, so that a retry gets the same one.
    pub(crate) key: RequestKey,
    /// Time by which the output must be complete.
    pub(crate) deadline: MonoTime,
}

impl GenerationSpec {
    /// Estimates the number of prompt tokens.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        (self.prompt.len() / CHARACTERS_PER_TOKEN + 1) as u32
    }
}
