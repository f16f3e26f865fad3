//! Reservation of a server's capacity for one request.

use std::{net::SocketAddr, sync::Arc};

use crate::{GatewayContext, Placement, ServerKey, ServerLoad};

/// Load reserved at a server. It is returned when the ticket is closed, or dropped with a task
/// whose caller left.
pub struct ServerReservation {
    context: Arc<GatewayContext>,
    placement: Placement,
}

impl ServerReservation {
    /// Takes over the load that `placement` reserved.
    pub fn new(context: &Arc<GatewayContext>, placement: Placement) -> ServerReservation {
        if placement.load.memory_tokens() > 0 {
            context.load_changes.notify_one();
        }
        ServerReservation { context: Arc::clone(context), placement }
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

    /// Returns the load on the server when it was chosen.
    pub fn seen_load(&self) -> ServerLoad {
        self.placement.seen
    }

    /// Takes that the engine has read the prompt.
    pub fn note_started(&mut self) {
        let read = ServerLoad {
            pending_prompt_tokens: std::mem::take(&mut self.placement.load.pending_prompt_tokens),
            ..ServerLoad::default()
        };
        self.context.view().release(self.placement.server, read);
        self.context.load_changes.notify_one();
    }

    /// Returns the tokens whose memory has to arrive, with those on their way from elsewhere when
    /// the server was chosen.
    pub fn arriving_tokens(&self) -> u64 {
        self.placement.seen.arriving_tokens + self.placement.load.arriving_tokens
    }

    /// Takes that the memory of a moved generation has arrived.
    pub fn note_arrived(&mut self) {
        let arrived = ServerLoad {
            arriving_tokens: std::mem::take(&mut self.placement.load.arriving_tokens),
            ..ServerLoad::default()
        };
        self.context.view().release(self.placement.server, arrived);
        self.context.load_changes.notify_one();
    }

    /// Sets the engine memory of the generation, or of the copy of one.
    pub fn resize(&mut self, tokens: u64) {
        let mut load = self.placement.load;
        if load.copy_tokens > 0 {
            load.copy_tokens = tokens;
        } else {
            load.tokens = tokens;
        }
        self.context.view().replace_load(self.placement.server, self.placement.load, load);
        self.placement.load = load;
    }

    /// Returns the load.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for ServerReservation {
    fn drop(&mut self) {
        self.context.view().release(self.placement.server, self.placement.load);
        if self.placement.load.memory_tokens() > 0 {
            self.context.load_changes.notify_one();
        }
    }
}
