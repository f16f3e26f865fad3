//! Opens connections to servers.

use std::{net::SocketAddr, time::Duration};

use crate::{BoxFuture, ConnectionError, ServerConnection};

/// Opens connections to servers.
pub trait ServerConnector: Send + Sync {
    /// Opens a connection to the server at an address within `limit`.
    ///
    /// # Errors
    ///
    /// As for [`ServerConnection::connect_within`].
    fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<ServerConnection, ConnectionError>>;
}
