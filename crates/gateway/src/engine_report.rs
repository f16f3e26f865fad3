//! What an engine says of itself.

use std::time::Duration;

/// Generation in an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningGeneration {
    /// Identity of the caller's attempt.
    pub attempt: String,
    /// Tokens in memory.
    pub tokens: u64,
    /// Events made so far.
    pub events: u64,
}

/// State of an engine, as of some hundred milliseconds ago.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Time until the engine leaves, if it is known.
    pub leaves_in: Option<Duration>,
    /// Generations that run.
    pub generations: Vec<RunningGeneration>,
}
