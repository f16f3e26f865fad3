//! Call to a plain service as a caller asked for it.

use bytes::Bytes;
use dragonflycart_core::{
    ErrorKind, MonoTime, RequestKey, RouteName, RunState, ServiceError, ServiceName, TeamName,
};

/// Call to a plain service as a caller asked for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallSpec {
    /// Team of the caller.
    pub(crate) team: TeamName,
    /// Service.
    pub(crate) service: ServiceName,
    /// Operation of the service.
    pub(crate) operation: RouteName,
    /// Whether the call may be sent more than once.
    pub(crate) idempotent: bool,
    /// Idempotency key; present if the call is not idempotent.
    pub(crate) key: Option<RequestKey>,
    /// Number of the caller's attempt under its key; zero if not stated.
    pub(crate) attempt: u32,
    /// Time by which the answer is wanted.
    pub(crate) deadline: MonoTime,
    /// Body, passed on unchanged.
    pub(crate) body: Bytes,
}

impl CallSpec {
    /// Returns the error of a call that is refused before the log was read for its key.
    ///
    /// Such a refusal says nothing about earlier attempts under the key, so "not run" is correct
    /// only for a call that is idempotent or states that it is the first attempt.
    pub(crate) fn refusal(&self, error: ServiceError) -> ServiceError {
        if self.idempotent || self.attempt == 1 || error.run_state() != RunState::NotRun {
            return error;
        }
        let message = format!("{}; an earlier attempt may have run", error.message());
        ServiceError::new(ErrorKind::OutcomeUnknown, message)
    }
}
