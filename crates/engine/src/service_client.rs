//! Interface to one server of a plain service.

use bytes::Bytes;
use dragonflycart_core::{RequestKey, ServerInstance};

use crate::{BoxFuture, CallFailure, LoadReport};

/// Call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRequest {
    /// Identity of this exchange, echoed by the server.
    pub request_id: String,
    /// Idempotency key of the caller, if any.
    pub key: Option<RequestKey>,
    /// Operation of the service.
    pub operation: String,
    /// Body, passed on unchanged.
    pub body: Bytes,
    /// Seat and zone of the entry VM that holds a cold-start slot for this call, if any.
    pub ordinal: Option<String>,
}

/// Whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status of the answer.
    pub status: u16,
    /// Run of the server's process, if the server states it.
    pub instance: Option<ServerInstance>,
    /// Body, passed on unchanged.
    pub body: Bytes,
}

/// Client of one server of a plain service.
pub trait ServiceClient: Send + Sync {
    /// Sends one call and waits for the whole answer. A caller that drops the future must treat
    /// the call as possibly sent.
    ///
    /// # Errors
    ///
    /// [`CallFailure::NotSent`] only if no byte of the request was handed to a socket.
    fn call(&self, request: ServiceRequest) -> BoxFuture<'_, Result<ServiceResponse, CallFailure>>;

    /// Asks whether the call with `key` was executed, where the service offers this.
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
