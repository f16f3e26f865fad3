//! Configuration of the fake engine.

use dragonflycart_core::{ModelName, VersionName};
use serde::{Deserialize, Serialize};

use crate::BadVersion;

/// Configuration of the fake engine. Missing fields take their defaults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Milliseconds per step. Each generation that decodes gets one token per step.
    pub pace_ms: u64,
    /// Maximum number of running generations; further ones wait.
    pub max_batch: u32,
    /// Memory capacity in tokens.
    pub memory_tokens: u64,
    /// Tokens that the prefill of one generation computes per step.
    pub prefill_tokens: u64,
    /// Number of prompt prefixes that fit in the prefix cache.
    pub cached_prompts: usize,
    /// Whether the engine begins with a cold start. After a restart it always does.
    pub starts_cold: bool,
    /// Concurrent requests that the engine can handle right after a cold start.
    pub cold_limit: u32,
    /// Milliseconds after which `cold_limit` doubles, repeatedly until it reaches `max_batch`.
    pub cold_step_ms: u64,
    /// Whether a request above the cold limit fails; otherwise it is only counted.
    pub fail_when_overloaded: bool,
    /// Milliseconds by which load reports and cache events are delayed.
    pub report_lag_ms: u64,
    /// Drops every n-th cache event; 0 drops none.
    pub drop_cache_event: u64,
    /// Milliseconds for which an ended generation can still be resumed.
    pub retain_ms: u64,
    /// Milliseconds without another event after which a heartbeat is sent.
    pub heartbeat_ms: u64,
    /// Milliseconds that pass before a generation is accepted or refused, also if its connection
    /// closes meanwhile.
    pub start_delay_ms: u64,
    /// Whether orders with a fence lower than the highest one so far are rejected.
    pub check_fence: bool,
    /// Milliseconds that loading a version takes.
    pub load_ms: u64,
    /// Versions that are loaded initially. If empty, the engine serves every version, loaded or
    /// not.
    pub loaded: Vec<(ModelName, VersionName)>,
    /// Rules for bad versions. The first one that applies to a request takes effect.
    pub bad_versions: Vec<BadVersion>,
    /// Text on which the engine restarts shortly after it began to answer a prompt with it.
    pub crashes_on: Option<String>,
    /// Minimum output length in tokens, if `max_tokens` of the request doesn't end it earlier.
    pub shortest_output: u32,
    /// Maximum output length in tokens.
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
            start_delay_ms: 0,
            check_fence: true,
            load_ms: 0,
            loaded: Vec::new(),
            bad_versions: Vec::new(),
            crashes_on: None,
            shortest_output: 1_000_000,
            longest_output: 1_000_000,
        }
    }
}
