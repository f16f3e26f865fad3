//! Engine from which a generation moves.

use std::{net::SocketAddr, time::Duration};

use tracing::info;

use crate::{GatewayContext, ServerKey, ServerReservation};

/// Timeout of the call that frees a copy.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Engine from which a generation moves.
#[derive(Debug, Clone)]
pub(crate) struct MoveSource {
    /// Key of the engine.
    pub(crate) server: ServerKey,
    /// ID of the engine.
    pub(crate) id: String,
    /// Address of the engine.
    pub(crate) address: SocketAddr,
    /// Its availability zone; empty if the engine is not known any more.
    pub(crate) zone: String,
}

impl MoveSource {
    /// Returns the engine of a reservation.
    pub(crate) fn new(context: &GatewayContext, reservation: &ServerReservation) -> MoveSource {
        let server = reservation.server();
        let zone = context.view().server(server).map(|state| state.record.zone.clone());
        MoveSource {
            server,
            id: reservation.id().to_owned(),
            address: reservation.address(),
            zone: zone.unwrap_or_default(),
        }
    }

    /// Frees a copy of a generation's memory that the engine made.
    pub(crate) async fn release(&self, context: &GatewayContext, attempt: &str, handle: &str) {
        let call = context.engine_protocol.release_call(handle);
        if let Err(error) = context.pool.call(&call, self.address, RELEASE_TIMEOUT).await {
            info!(id = attempt, handle, error = <&str>::from(error), "move: copy not freed");
        }
    }
}
