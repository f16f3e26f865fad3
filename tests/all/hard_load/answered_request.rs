//! A request and its response.

use dragonflycart_standins::{CallerRequest, CallerResponse};

/// A request and its response.
#[derive(Debug, Clone)]
pub(crate) struct AnsweredRequest {
    /// Index of the gateway that it was sent to.
    pub(crate) gateway: usize,
    /// Request.
    pub(crate) request: CallerRequest,
    /// Response.
    pub(crate) response: CallerResponse,
}
