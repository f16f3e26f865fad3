//! Faults and settings of the fake engine only.

use serde::{Deserialize, Serialize};

use crate::BadVersion;

/// Body of `POST /control/engine`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "set", rename_all = "snake_case")]
pub enum EngineCommand {
    /// Occupies part of the memory. Generations that no longer fit are preempted.
    FillMemory {
        /// Tokens to occupy; 0 frees them.
        tokens: u64,
    },
    /// Delays load reports and cache events, and drops some of the cache events.
    Publish {
        /// Milliseconds by which load reports and cache events are delayed.
        lag_ms: u64,
        /// Drops every n-th cache event; 0 drops none.
        drop_cache_event: u64,
    },
    /// Replaces the rules for bad versions.
    BadVersions {
        /// New rules.
        rules: Vec<BadVersion>,
    },
    /// Sets whether the engine is leaving, that is, draining. A leaving engine refuses new
    /// generations.
    Leaving {
        /// Whether the engine is leaving.
        leaving: bool,
    },
    /// Stops or continues the processing of the batch; heartbeats are still sent.
    Stall {
        /// Whether processing is stopped.
        stalled: bool,
    },
    /// Changes the time that passes before a generation is accepted or refused.
    DelayStarts {
        /// Milliseconds; 0 ends it.
        ms: u64,
    },
    /// Changes the time per step of the batch.
    Pace {
        /// Milliseconds per step.
        ms: u64,
    },
}
