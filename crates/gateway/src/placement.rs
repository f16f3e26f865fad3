//! Result of a placement decision.

use std::net::SocketAddr;

use crate::{ServerKey, ServerLoad};

/// Server chosen for a request, with the load reserved on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Key of the server.
    pub server: ServerKey,
    /// ID of the server.
    pub id: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Total load on the server before the reservation.
    pub seen: ServerLoad,
    /// Reserved load.
    pub load: ServerLoad,
}
