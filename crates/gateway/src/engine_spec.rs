//! Capacity and features of the engines of a service.

use std::time::Duration;

/// Capacity of one engine and the operations that it supports on running generations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Memory for running generations and cached prompt prefixes, in tokens.
    pub memory_tokens: u64,
    /// Whether a running generation can be moved to another engine.
    pub can_move: bool,
    /// Whether an engine can continuously copy a generation's memory to another engine, as a
    /// backup.
    pub can_back_up: bool,
    /// Number of output tokens per event of a stream.
    pub tokens_per_event: u32,
    /// Time to copy one token's memory to another engine in the same zone.
    pub token_copy_time: Duration,
}
