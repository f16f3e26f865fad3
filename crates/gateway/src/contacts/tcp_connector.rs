//! Opens TCP connections to servers.

use std::{net::SocketAddr, time::Duration};

use crate::{BoxFuture, ConnectionError, ServerConnection, contacts::ServerConnector};

/// Opens TCP connections.
#[derive(Debug, Default)]
pub(crate) struct TcpConnector;

impl ServerConnector for TcpConnector {
    fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<ServerConnection, ConnectionError>> {
        Box::pin(ServerConnection::connect_within(address, limit))
    }
}
