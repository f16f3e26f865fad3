//! Capacity of the engines of a service.

use std::time::Duration;

/// Capacity of one engine and what it can do with running generations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Memory for running generations and cached prompt parts, in tokens.
    pub memory_tokens: u64,
    /// Whether a running generation can be moved to another engine.
    pub can_move: bool,
    /// Whether an engine copies a generation's memory to another engine as it grows.
    pub can_back_up: bool,
    /// Output tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Time to copy one token's memory to another engine in the same zone.
    pub token_copy_time: Duration,
}
