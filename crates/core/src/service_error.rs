//! Error that is returned to a caller.

use std::fmt;

use crate::{ErrorKind, RunState};

/// Failed request: its kind and a message for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceError {
    kind: ErrorKind,
    message: String,
}

impl ServiceError {
    /// Builds an error. The message must not contain prompt text or credentials.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> ServiceError {
        ServiceError { kind, message: message.into() }
    }

    /// Returns the kind.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the message.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns whether the work was executed.
    pub fn run_state(&self) -> RunState {
        self.kind.run_state()
    }
}

impl fmt::Display for ServiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for ServiceError {}
