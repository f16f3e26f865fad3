//! Body of a failed request.

use std::fmt;

use dragonflycart_core::{ErrorKind, RunState, ServiceError};
use serde::{Deserialize, Serialize};

/// Body of every failed request, the same as for callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// The failure.
    pub error: ErrorBody,
}

/// Kind and message of a failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind.
    pub kind: ErrorKind,
    /// Message for people.
    pub message: String,
    /// Whether the request had an effect.
    pub run: RunState,
    /// Wait before another try, if another try can help.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl From<&ServiceError> for ErrorAnswer {
    fn from(error: &ServiceError) -> ErrorAnswer {
        let retry_after = error.kind().retry_after();
        ErrorAnswer {
            error: ErrorBody {
                kind: error.kind(),
                message: error.message().to_owned(),
                run: error.run_state(),
                retry_after_ms: retry_after.map(|wait| wait.as_millis() as u64),
            },
        }
    }
}

impl fmt::Display for ErrorBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}
