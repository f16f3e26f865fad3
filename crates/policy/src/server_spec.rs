//! Configured properties of a backend server.

use dragonflycart_core::{ServerName, ServiceName, ZoneName};

/// Configured properties of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSpec {
    /// Name of the server.
    pub name: ServerName,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Service of a plain server; `None` for an engine, whose models are taken from its load
    /// reports.
    pub service: Option<ServiceName>,
}
