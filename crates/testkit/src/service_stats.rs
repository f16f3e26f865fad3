//! Statistics of the fake plain service.

use serde::{Deserialize, Serialize};

/// One executed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedCall {
    /// Request ID from the request's header.
    pub request_id: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Operation from the request's path.
    pub operation: String,
    /// Request body as text.
    pub body: String,
}

/// Statistics of the fake plain service since its start, over all its server instances. Body of the
/// response to `GET /control/stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Executed calls in order of execution.
    pub executed: Vec<ExecutedCall>,
    /// Calls refused without execution.
    pub refused: u64,
    /// Highest number of concurrent calls during a cold start.
    pub cold_high_water: u32,
    /// Calls that arrived during a cold start and exceeded its concurrency limit.
    pub cold_overloads: u64,
}

impl ServiceStats {
    /// Returns how many times a call with `key` was executed.
    pub fn executions(&self, key: &str) -> usize {
        self.executed.iter().filter(|call| call.key.as_deref() == Some(key)).count()
    }
}
