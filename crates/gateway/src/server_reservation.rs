//! Load reserved on a server for one request.

use std::{net::SocketAddr, sync::Arc};

use tokio::time::Instant;

use crate::{GatewayContext, Placement, ServerKey, ServerLoad};

/// Load reserved on a server. It is released on drop, also when the request's task is cancelled
/// because the caller disconnected.
pub struct ServerReservation {
    context: Arc<GatewayContext>,
    placement: Placement,
    reserved_at: Instant,
}

impl ServerReservation {
    /// Takes ownership of the load that `placement` reserved.
    pub fn new(context: &Arc<GatewayContext>, placement: Placement) -> ServerReservation {
        if placement.load.memory_tokens() > 0 {
            context.load_changes.notify_one();
        }
        ServerReservation { context: Arc::clone(context), placement, reserved_at: Instant::now() }
    }

    /// Returns the key of the server.
    pub fn server(&self) -> ServerKey {
        self.placement.server
    }

    /// Returns the ID of the server.
    pub fn id(&self) -> &str {
        &self.placement.id
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.placement.address
    }

    /// Returns the total load on the server before the reservation.
    pub fn seen_load(&self) -> ServerLoad {
        self.placement.seen
    }

    /// Records that the engine has processed the prompt.
    pub fn note_started(&mut self) {
        let read = ServerLoad {
            pending_prompt_tokens: std::mem::take(&mut self.placement.load.pending_prompt_tokens),
            ..ServerLoad::default()
        };
        {
            let mut view = self.context.view();
            view.release(self.placement.server, read);
            if read.pending_prompt_tokens > 0
                && let Some(service) = view.service_of(self.placement.server)
            {
                view.timing_mut(&service).note_start(self.reserved_at.elapsed());
            }
        }
        self.context.load_changes.notify_one();
    }

    /// Returns the tokens whose memory has to be transferred to the server, including other
    /// transfers in progress when the server was chosen.
    pub fn arriving_tokens(&self) -> u64 {
        self.placement.seen.arriving_tokens + self.placement.load.arriving_tokens
    }

    /// Records that the memory of a moved generation has arrived.
    pub fn note_arrived(&mut self) {
        let arrived = ServerLoad {
            arriving_tokens: std::mem::take(&mut self.placement.load.arriving_tokens),
            ..ServerLoad::default()
        };
        self.context.view().release(self.placement.server, arrived);
        self.context.load_changes.notify_one();
    }

    /// Sets the reserved memory of the generation or backup copy, in tokens.
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

    /// Releases the load.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for ServerReservation {
    fn drop(&mut self) {
        let Placement { server, load, .. } = self.placement;
        let service = {
            let mut view = self.context.view();
            view.release(server, load);
            // The memory of an engine that leaves can't be used again.
            view.service_of(server).filter(|_| !view.is_closed(server))
        };
        if load.memory_tokens() == 0 {
            self.context.plain_calls.serve(&self.context);
            return;
        }
        self.context.load_changes.notify_one();
        let Some(service) = service else { return };
        let now = self.context.clock.now();
        // A request that did not start only returns what it took.
        if load.tokens > 0 && load.pending_prompt_tokens == 0 {
            self.context.admission.table().note_freed(&service, load.tokens, now);
        }
        self.context.admission.wake(&service, now);
    }
}
