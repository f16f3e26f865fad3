//! Configuration of the fake log service.

use serde::{Deserialize, Serialize};

/// Configuration of the fake log service. Missing fields take their defaults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// Maximum number of records kept per topic.
    pub retention_records: usize,
    /// Milliseconds for which records are kept.
    pub retention_ms: u64,
    /// Appends per second over all topics. The largest burst is as many appends, but at least 1.
    pub appends_per_second: f64,
    /// Maximum size of a record in bytes.
    pub record_limit_bytes: usize,
    /// Maximum size in bytes of the records in one response to a read. At least one record is sent
    /// even if it is larger.
    pub batch_limit_bytes: usize,
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig {
            retention_records: 100_000,
            retention_ms: 7 * 24 * 3_600_000,
            appends_per_second: 300.0,
            record_limit_bytes: 1024 * 1024,
            batch_limit_bytes: 4 * 1024 * 1024,
        }
    }
}
