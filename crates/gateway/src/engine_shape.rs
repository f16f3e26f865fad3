//! Capacity of the engines of a service.

use std::time::Duration;

/// Capacity of one engine and what it can do with running generations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineShape {
    /// Generations that run at the same time.
    pub batch_size: u32,
    /// Memory for running generations and cached prompt parts, in tokens.
    pub memory_tokens: u64,
    /// Whether a running generation can be moved to another engine.
    pub can_move: bool,
    /// Whether an engine copies a generation's memory to another engine as it grows.
    pub can_back_up: bool,
    /// Bytes of memory per token.
    pub token_bytes: u64,
    /// Bandwidth of the engine's link for memory, in megabits per second.
    pub link_mbps: f64,
    /// Output tokens in one event of a stream.
    pub tokens_per_event: u32,
}

impl EngineShape {
    /// Returns the time to copy memory to an engine in the same zone.
    pub fn copy_time(&self, tokens: u64) -> Duration {
        let bits = (tokens * self.token_bytes * 8) as f64;
        Duration::from_secs_f64(bits / (self.link_mbps.max(1.0) * 1e6))
    }
}
