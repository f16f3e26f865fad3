//! What would happen to a request.

use serde::{Deserialize, Serialize};

use crate::WaitReason;

/// What would happen to a request that arrives now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PlacementOutcome {
    /// It would be sent to a server at once.
    Server {
        /// ID of the server.
        id: String,
    },
    /// It would wait.
    Wait {
        /// Reason.
        reason: WaitReason,
        /// Number of requests that wait for the service at this VM.
        waiting: usize,
        /// Expected wait, if it is estimated and not doubtful.
        expected_ms: Option<u64>,
        /// Maximum wait, after which it would be refused.
        maximum_ms: u64,
    },
    /// It would be refused without being run.
    Refusal {
        /// Error kind of the response.
        error: String,
        /// Cause.
        reason: String,
        /// Value of the `Retry-After` header, if the response would have one.
        retry_after_ms: Option<u64>,
    },
}
