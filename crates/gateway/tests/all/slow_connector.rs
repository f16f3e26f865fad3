//! Connections that take long to be established.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use dragonflycart_gateway::{BoxFuture, ConnectionError, ServerConnection, ServerConnector};

/// Opens connections, to one address after a delay.
#[derive(Clone, Default)]
pub(crate) struct SlowConnector {
    slow: Arc<Mutex<Option<(SocketAddr, Duration)>>>,
}

impl SlowConnector {
    /// Delays connections to an address from now on.
    pub(crate) fn delay(&self, address: SocketAddr, delay: Duration) {
        *self.slow.lock().unwrap() = Some((address, delay));
    }
}

impl ServerConnector for SlowConnector {
    fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<ServerConnection, ConnectionError>> {
        let slow = *self.slow.lock().unwrap();
        let delay = slow.filter(|(slow, _)| *slow == address).map_or(Duration::ZERO, |slow| slow.1);
        Box::pin(async move {
            tokio::time::sleep(delay.min(limit)).await;
            if delay > limit {
                return Err(ConnectionError::Unreachable);
            }
            ServerConnection::connect(address).await
        })
    }
}
