//! Request to be placed on a server.

use dragonflycart_core::{MonoTime, RouteName, TeamName};

use crate::{PriorityClass, RequestTicket, ServerPool};

/// Prompt prefix that several requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Digest of the prefix.
    pub digest: u64,
    /// Length of the prefix, in tokens.
    pub tokens: u32,
}

/// Request to be placed on a server.
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
    /// Length of the prompt, in tokens. Zero for a call to a plain service.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate. Zero for a call to a plain service.
    pub max_tokens: u32,
    /// Tokens that another VM has already delivered. The generation continues after them.
    pub delivered_tokens: u32,
    /// Time after which the result is of no use.
    pub deadline: Option<MonoTime>,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Shared prefix of the prompt, if any.
    pub prefix: Option<PromptPrefix>,
}

/// Progress of a running generation; reported in batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenProgress {
    /// Ticket of the request.
    pub ticket: RequestTicket,
    /// Tokens of the output so far, over all attempts.
    pub tokens: u32,
}
