//! Configuration of the fake plain service.

use serde::{Deserialize, Serialize};

/// Configuration of the fake plain service. Missing fields take their defaults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceConfig {
    /// Milliseconds that each call takes.
    pub delay_ms: u64,
    /// Whether executed calls can be looked up by key.
    pub supports_lookup: bool,
    /// Whether a call with a known key returns the first outcome instead of executing again.
    pub deduplicates: bool,
    /// Most concurrent calls.
    pub max_concurrent: u32,
    /// Whether the server is in cold start from its start on. It always is after a restart.
    pub starts_cold: bool,
    /// Concurrent calls that the server can handle in cold start.
    pub cold_limit: u32,
    /// Milliseconds until the cold start ends.
    pub cold_ms: u64,
    /// Age in milliseconds of the published load reports.
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
