//! Configuration of the fake engine.

use dragonflycart_core::{ModelName, VersionName};
use serde::{Deserialize, Serialize};

use crate::BadVersion;

/// Configuration of the fake engine. Missing fields take their defaults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Milliseconds per step; each running generation gets one token per step.
    pub pace_ms: u64,
    /// Most running generations; further ones wait.
    pub max_batch: u32,
    /// Tokens that fit in memory.
    pub memory_tokens: u64,
    /// Prompt tokens computed per step.
    pub prefill_tokens: u64,
    /// Prompts whose prefix is cached.
    pub cached_prompts: usize,
    /// Whether the engine is in cold start from its start on. It always is after a restart.
    pub starts_cold: bool,
    /// Concurrent requests that the engine can handle right after a cold start.
    pub cold_limit: u32,
    /// Milliseconds after which that number doubles, until it reaches `max_batch`.
    pub cold_step_ms: u64,
    /// Whether a request above the number is failed; otherwise it is only counted.
    pub fail_when_overloaded: bool,
    /// Age in milliseconds of the published load reports and cache events.
    pub report_lag_ms: u64,
    /// Drops every n-th cache event; 0 drops none.
    pub drop_cache_event: u64,
    /// Milliseconds for which finished generations can be resumed.
    pub retain_ms: u64,
    /// Milliseconds without another event after which a heartbeat is sent.
    pub heartbeat_ms: u64,
    /// Whether orders with a stale fence are rejected.
    pub check_fence: bool,
    /// Milliseconds that loading a version takes.
    pub load_ms: u64,
    /// Versions that are loaded at the start. If empty, every version is served.
    pub loaded: Vec<(ModelName, VersionName)>,
    /// Bad versions.
    pub bad_versions: Vec<BadVersion>,
    /// Shortest output in tokens.
    pub shortest_output: u32,
    /// Longest output in tokens.
    pub longest_output: u32,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            pace_ms: 10,
            max_batch: 16,
            memory_tokens: 100_000,
            prefill_tokens: 2_048,
            cached_prompts: 64,
            starts_cold: false,
            cold_limit: 2,
            cold_step_ms: 1_000,
            fail_when_overloaded: false,
            report_lag_ms: 0,
            drop_cache_event: 0,
            retain_ms: 120_000,
            heartbeat_ms: 500,
            check_fence: true,
            load_ms: 0,
            loaded: Vec::new(),
            bad_versions: Vec::new(),
            shortest_output: 1_000_000,
            longest_output: 1_000_000,
        }
    }
}
