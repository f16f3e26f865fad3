//! Failure of a request to the administration API.

use displaydoc::Display;
use dragonflycart_core::RunState;
use thiserror::Error;

use crate::api::ErrorBody;

/// Failure of a request to the administration API.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AdminError {
    /// no server could be reached: {0}
    NotSent(String),
    /// no server returned a valid response, and the request may have been received: {0}
    NoResponse(String),
    /// the server responded with an error: {0}
    Rejected(ErrorBody),
    /// {0} returned a response that is not part of the administration API ({1})
    InvalidResponse(String, String),
}

impl AdminError {
    /// Returns whether the request may have had an effect.
    pub fn maybe_run(&self) -> bool {
        match self {
            AdminError::NotSent(_) => false,
            AdminError::NoResponse(_) | AdminError::InvalidResponse(..) => true,
            AdminError::Rejected(body) => body.run != RunState::NotRun,
        }
    }

    /// Returns whether a later retry may succeed.
    pub fn is_transient(&self) -> bool {
        match self {
            AdminError::NotSent(_)
            | AdminError::NoResponse(_)
            | AdminError::InvalidResponse(..) => true,
            AdminError::Rejected(body) => body.kind.retry_after().is_some(),
        }
    }
}
