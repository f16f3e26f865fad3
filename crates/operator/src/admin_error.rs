//! Failure of a request to the administration API.

use displaydoc::Display;
use thiserror::Error;

use crate::api::ErrorBody;

/// Failure of a request to the administration API.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AdminError {
    /// no server answered: {0}
    NoAnswer(String),
    /// the server answered {0}
    Rejected(ErrorBody),
    /// {0} answered something that is not part of the administration API ({1})
    BadAnswer(String, String),
}
