//! Reservation of a server's capacity for one request.

use std::{net::SocketAddr, sync::Arc};

use crate::{GatewayContext, Placement, ServerKey};

/// Load reserved at a server. It is returned when the ticket is closed, or dropped with a task
/// whose caller left.
pub struct WorkTicket {
    context: Arc<GatewayContext>,
    placement: Placement,
}

impl WorkTicket {
    /// Takes over the load that `placement` reserved.
    pub fn new(context: &Arc<GatewayContext>, placement: Placement) -> WorkTicket {
        WorkTicket { context: Arc::clone(context), placement }
    }

    /// Returns the key of the server.
    pub fn server(&self) -> ServerKey {
        self.placement.server
    }

    /// Returns the identity of the server.
    pub fn id(&self) -> &str {
        &self.placement.id
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.placement.address
    }

    /// Returns the load.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for WorkTicket {
    fn drop(&mut self) {
        self.context.view().release(self.placement.server, self.placement.load);
    }
}
