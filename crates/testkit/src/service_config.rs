//! Configuration of the fake plain service.

use serde::{Deserialize, Serialize};

/// Configuration of the fake plain service. Missing fields take their defaults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// Milliseconds that each call takes.
    pub delay_ms: u64,
    /// Whether the outcome of an executed call can be looked up by its idempotency key.
    pub supports_lookup: bool,
    /// Whether a repeated call with the same idempotency key returns the first outcome instead of
    /// executing again.
    pub deduplicates: bool,
    /// Concurrency limit that the server reports when it is not in a cold start.
    pub max_concurrent: u32,
    /// Whether the server begins with a cold start. After a restart it always does.
    pub starts_cold: bool,
    /// Concurrent calls that the server can handle during a cold start.
    pub cold_limit: u32,
    /// Duration of a cold start in milliseconds.
    pub cold_ms: u64,
    /// Milliseconds by which load reports are delayed.
    pub report_lag_ms: u64,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig {
            delay_ms: 0,
            supports_lookup: false,
            deduplicates: false,
            max_concurrent: 64,
            starts_cold: false,
            cold_limit: 2,
            cold_ms: 3_000,
            report_lag_ms: 0,
        }
    }
}
