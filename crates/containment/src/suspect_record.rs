//! What VMs tell each other about a part.

use std::time::Duration;

use dragonflycart_core::PromptPart;

use crate::EngineRun;

/// What a VM knows about a part. Clocks differ between VMs, so times are sent as ages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRecord {
    /// The part.
    pub part: PromptPart,
    /// Position in the prompts.
    pub depth: u32,
    /// Crashes that count against it, with their age.
    pub crashes: Vec<(EngineRun, Duration)>,
    /// Time since it was last seen to be sound.
    pub sound_age: Option<Duration>,
    /// Time since a request with it was last refused.
    pub refused_age: Option<Duration>,
    /// Time since it is contained.
    pub contained_age: Option<Duration>,
}
