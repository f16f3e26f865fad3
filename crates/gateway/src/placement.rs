//! Decision where a request goes.

use std::net::SocketAddr;

use crate::{ServerKey, ServerLoad};

/// Server that was chosen for a request and the load that was reserved there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Key of the server.
    pub server: ServerKey,
    /// Identity of the server.
    pub id: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Load on the server when it was chosen.
    pub seen: ServerLoad,
    /// Reserved load.
    pub load: ServerLoad,
}
