//! Generation whose response broke off.

use dragonflycart_core::{MonoTime, PromptPart};

use crate::EngineRun;

/// Generation whose response broke off shortly after it began. Whether it is evidence depends on
/// whether its engine has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct BrokenGeneration {
    /// Engine that was writing the response.
    pub(crate) engine: EngineRun,
    /// Parts of the prompt, without the last one.
    pub(crate) parts: Vec<PromptPart>,
    /// Time at which the response broke off.
    pub(crate) at: MonoTime,
}
