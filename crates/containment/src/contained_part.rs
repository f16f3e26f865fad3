//! Part because of which a request is refused.

use std::time::Duration;

use dragonflycart_core::PromptPart;

/// Contained part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContainedPart {
    /// The part.
    pub part: PromptPart,
    /// Number of crashes that are attributed to it.
    pub crashes: u32,
    /// Time after which a request with the part may be tried again.
    pub retry_after: Duration,
    /// Number of VMs that may try it in a round of trials; all of them if `None`.
    pub trial_vms: Option<usize>,
}
