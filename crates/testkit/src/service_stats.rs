//! What a test can ask the fake plain service afterwards.

use serde::{Deserialize, Serialize};

/// One executed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedCall {
    /// Request id of the exchange.
    pub request_id: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Operation.
    pub operation: String,
    /// Body as text.
    pub body: String,
}

/// Record of the fake plain service since its start, over all instances. Answer to
/// `GET /control/stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Executed calls in order of execution.
    pub executed: Vec<ExecutedCall>,
    /// Calls refused without execution.
    pub refused: u64,
    /// Most concurrent calls in cold start.
    pub cold_high_water: u32,
    /// Calls that arrived in cold start above what the server could handle.
    pub cold_overloads: u64,
}

impl ServiceStats {
    /// Returns how many times a call with `key` was executed.
    pub fn executions(&self, key: &str) -> usize {
        self.executed.iter().filter(|call| call.key.as_deref() == Some(key)).count()
    }
}
