//! Kind and message of a failure.

use std::fmt;

use dragonflycart_core::{ErrorKind, RunState};
use serde::{Deserialize, Serialize};

/// Kind and message of a failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Kind.
    pub kind: ErrorKind,
    /// Message for people.
    pub message: String,
    /// Whether the request was, or may have been, executed.
    pub run: RunState,
    /// Time to wait before a retry, if a retry can succeed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl fmt::Display for ErrorBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}
