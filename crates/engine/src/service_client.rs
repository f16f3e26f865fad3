//! Interface to a server of a plain service.

use std::time::Duration;

use bytes::Bytes;
use dragonflycart_core::{RequestKey, ServerInstance};

use crate::{BoxFuture, CallFailure, LoadReport};

/// Call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRequest {
    /// Id of this request, repeated by the server.
    pub request_id: String,
    /// Idempotency key of the caller, if any.
    pub key: Option<RequestKey>,
    /// Operation of the service.
    pub operation: String,
    /// Body, passed on unchanged.
    pub body: Bytes,
    /// Entry VM, as "zone/ordinal", that holds a cold-start slot for this call, if any.
    pub ordinal: Option<String>,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

/// Complete response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Identity of the server's process, if the response names it.
    pub instance: Option<ServerInstance>,
    /// Body, passed on unchanged.
    pub body: Bytes,
}

/// Client of a server of a plain service.
pub trait ServiceClient: Send + Sync {
    /// Sends a call and waits for the whole response. A caller that drops the future must treat
    /// the call as possibly sent.
    ///
    /// # Errors
    ///
    /// [`CallFailure::NotSent`] only if no byte of the request was written to a socket.
    fn call(&self, request: ServiceRequest) -> BoxFuture<'_, Result<ServiceResponse, CallFailure>>;

    /// Looks up the response to an executed call by its idempotency key. Returns `None` if the
    /// service has no such call or doesn't support the lookup.
    ///
    /// # Errors
    ///
    /// Any transport failure.
    fn lookup<'a>(
        &'a self,
        key: &'a RequestKey,
    ) -> BoxFuture<'a, Result<Option<ServiceResponse>, CallFailure>>;

    /// Reads the server's load report.
    ///
    /// # Errors
    ///
    /// Any transport failure.
    fn report(&self) -> BoxFuture<'_, Result<LoadReport, CallFailure>>;
}
