//! Statistics of the fake log service.

use serde::{Deserialize, Serialize};

/// Statistics of the fake log service since its start. Body of the response to
/// `GET /control/stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStats {
    /// Records written, including late ones.
    pub written: u64,
    /// Total size of the written records in bytes.
    pub written_bytes: u64,
    /// Appends rejected by the rate limit.
    pub rate_limited: u64,
    /// Appends refused during an outage.
    pub refused: u64,
    /// Appends rejected by the record size limit.
    pub too_large: u64,
    /// Records written after the connection of their append was reset.
    pub written_late: u64,
    /// Lookups of records by reads outside an outage; a waiting read makes several.
    pub reads: u64,
}
