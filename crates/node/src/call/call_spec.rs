//! A caller's request to a plain service.

use bytes::Bytes;
use dragonflycart_core::{
    ErrorKind, MonoTime, RequestKey, RouteName, RunState, ServiceError, ServiceName, TeamName,
};

/// A caller's request to a plain service.
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
    /// Number of the caller's attempt under this key, or zero if the caller did not state it.
    pub(crate) attempt: u32,
    /// Time by which the caller needs the response.
    pub(crate) deadline: MonoTime,
    /// Body, forwarded unchanged.
    pub(crate) body: Bytes,
}

impl CallSpec {
    /// Returns the error for a call that is refused before its key was looked up in the log.
    ///
    /// An earlier attempt under the same key may have run. The error therefore says "not run" only
    /// if the call is idempotent or the caller stated that this is its first attempt.
    pub(crate) fn refusal(&self, error: ServiceError) -> ServiceError {
        if self.idempotent || self.attempt == 1 || error.run_state() != RunState::NotRun {
            return error;
        }
        let message = format!("{}; an earlier attempt may have run", error.message());
        ServiceError::new(ErrorKind::OutcomeUnknown, message)
    }
}
