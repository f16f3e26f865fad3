//! Request as the placement sees it.

use dragonflycart_core::{MonoTime, RouteName, TeamName};

use crate::{PriorityClass, RequestTicket, ServerPool};

/// Leading part of a prompt that several requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Digest of the shared part.
    pub digest: u64,
    /// Length of the shared part, in tokens.
    pub tokens: u32,
}

/// Request as the placement sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRequest {
    /// Servers that can run the request.
    pub pool: ServerPool,
    /// Team on whose behalf it runs.
    pub team: TeamName,
    /// Kind of request.
    pub route: RouteName,
    /// Priority class.
    pub class: PriorityClass,
    /// Length of the prompt. Zero for a call to a plain service.
    pub prompt_tokens: u32,
    /// Most tokens to generate. Zero for a call to a plain service.
    pub max_tokens: u32,
    /// Tokens that another VM already delivered; the generation continues after them.
    pub delivered_tokens: u32,
    /// Time after which the result is of no use.
    pub deadline: Option<MonoTime>,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Shared leading part of the prompt.
    pub prefix: Option<PromptPrefix>,
}

/// Progress of a running generation; reported in batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenProgress {
    /// Request.
    pub ticket: RequestTicket,
    /// Tokens of the output so far, over all attempts.
    pub tokens: u32,
}
