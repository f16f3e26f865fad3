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
    /// no server gave a usable answer, and the request may have been received: {0}
    NoAnswer(String),
    /// the server answered {0}
    Rejected(ErrorBody),
    /// {0} answered something that is not part of the administration API ({1})
    BadAnswer(String, String),
}

impl AdminError {
    /// Returns whether the request may have had an effect.
    pub fn maybe_run(&self) -> bool {
        match self {
            AdminError::NotSent(_) => false,
            AdminError::NoAnswer(_) | AdminError::BadAnswer(..) => true,
            AdminError::Rejected(body) => body.run != RunState::NotRun,
        }
    }

    /// Returns whether asking again later may help.
    pub fn may_be_temporary(&self) -> bool {
        match self {
            AdminError::NotSent(_) | AdminError::NoAnswer(_) | AdminError::BadAnswer(..) => true,
            AdminError::Rejected(body) => body.kind.retry_after().is_some(),
        }
    }
}
