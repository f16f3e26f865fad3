//! State that an engine reports.

use std::time::Duration;

/// Generation that runs on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningGeneration {
    /// Attempt ID set by the caller.
    pub attempt: String,
    /// Tokens in memory.
    pub tokens: u64,
    /// Number of events generated so far.
    pub events: u64,
}

/// State of an engine. It is some hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Whether the engine is going to shut down.
    pub is_leaving: bool,
    /// Start time of its process, in Unix milliseconds.
    pub started_at_ms: Option<u64>,
    /// Time until the engine shuts down, if known.
    pub leaves_in: Option<Duration>,
    /// Running generations.
    pub generations: Vec<RunningGeneration>,
}
