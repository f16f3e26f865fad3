//! What a test can ask the fake log service afterwards.

use serde::{Deserialize, Serialize};

/// Counts of the fake log service since its start. Answer to `GET /control/stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStats {
    /// Records written.
    pub written: u64,
    /// Bytes written.
    pub written_bytes: u64,
    /// Appends rejected by the rate limit.
    pub rate_limited: u64,
    /// Appends refused in an outage.
    pub refused: u64,
    /// Appends rejected by the record size limit.
    pub too_large: u64,
    /// Records written after their connection was closed.
    pub written_late: u64,
    /// Reads answered.
    pub reads: u64,
}
