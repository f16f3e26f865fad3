//! What a caller asked to be generated.

use dragonflycart_core::{ModelName, MonoTime, RequestKey, RouteName, TeamName};

/// Characters per token assumed for a prompt whose tokens are not known. English text has about
/// four; the estimate only feeds the memory forecast and is corrected by load reports.
const CHARACTERS_PER_TOKEN: usize = 4;

/// What a caller asked to be generated.
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
    /// Most tokens to generate.
    pub(crate) max_tokens: u32,
    /// Sampling seed.
    pub(crate) seed: u64,
    /// Key that fixes the choice of the version.
    pub(crate) key: RequestKey,
    /// Time by which the answer must be complete.
    pub(crate) deadline: MonoTime,
}

impl GenerationSpec {
    /// Estimates the number of prompt tokens.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        (self.prompt.len() / CHARACTERS_PER_TOKEN + 1) as u32
    }
}
