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
    /// Number of times that records were looked up for reads. A waiting read looks them up several
    /// times; reads during an outage that affects them are not counted.
    pub reads: u64,
}
