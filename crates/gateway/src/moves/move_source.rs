//! Engine from which a generation moves.

use std::net::SocketAddr;

use crate::{GatewayContext, ServerKey, ServerReservation};

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
}
