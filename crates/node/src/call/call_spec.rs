//! Call to a plain service as a caller asked for it.

use bytes::Bytes;
use dragonflycart_core::{MonoTime, RequestKey, RouteName, ServiceName, TeamName};

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
