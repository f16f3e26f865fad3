//! Faults and settings that only the fake engine knows.

use serde::{Deserialize, Serialize};

use crate::BadVersion;

/// Body of `POST /control/engine`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "set", rename_all = "snake_case")]
pub enum EngineCommand {
    /// Occupies memory, which preempts generations that no longer fit.
    FillMemory {
        /// Tokens to occupy; 0 frees them.
        tokens: u64,
    },
    /// Publishes load reports and cache events late and with gaps.
    Publish {
        /// Age of what is published, in milliseconds.
        lag_ms: u64,
        /// Drops every n-th cache event; 0 drops none.
        drop_cache_event: u64,
    },
    /// Replaces the rules for bad versions.
    BadVersions {
        /// New rules.
        rules: Vec<BadVersion>,
    },
    /// Starts or ends leaving; a leaving engine refuses new generations.
    Leaving {
        /// Whether the engine leaves.
        leaving: bool,
    },
    /// Stops or continues decoding; heartbeats are still sent.
    Stall {
        /// Whether decoding is stopped.
        stalled: bool,
    },
    /// Changes the time per token.
    Pace {
        /// Milliseconds per step.
        ms: u64,
    },
}
