//! Idle connections to backend servers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{ConnectionError, ServerConnection};

/// Idle connections kept per server.
const IDLE_PER_SERVER: usize = 4;
/// Time for the rest of a response that is of no further use.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest response that is read only to keep its connection, in bytes.
const DISCARD_BYTES: usize = 16 * 1024;

/// Pool of idle connections by server address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<ServerConnection>>>,
}

impl ConnectionPool {
    /// Returns an idle connection to a server, or connects.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::Unreachable`] if the server can't be connected to.
    pub async fn acquire(&self, address: SocketAddr) -> Result<ServerConnection, ConnectionError> {
        while let Some(mut connection) = self.take_idle(address) {
            if connection.is_reusable() {
                return Ok(connection);
            }
            connection.close();
        }
        ServerConnection::connect(address).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<ServerConnection> {
        self.idle.lock().expect("the pool's lock is never poisoned").get_mut(&address)?.pop()
    }

    /// Keeps a connection whose exchange ended, if it can be used again.
    pub fn put_back(&self, address: SocketAddr, mut connection: ServerConnection) {
        connection.start_idle();
        if !connection.is_reusable() {
            connection.close();
            return;
        }
        let mut idle = self.idle.lock().expect("the pool's lock is never poisoned");
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_PER_SERVER {
            connections.push(connection);
        }
    }

    /// Reads the rest of a short response that is of no further use, and keeps the connection.
    pub fn put_back_after_body(
        self: &Arc<ConnectionPool>,
        address: SocketAddr,
        connection: ServerConnection,
    ) {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let mut connection = connection;
            let body =
                tokio::time::timeout(DISCARD_TIMEOUT, connection.read_body(DISCARD_BYTES)).await;
            match body {
                Ok(Ok(_)) => pool.put_back(address, connection),
                Ok(Err(_)) | Err(_) => connection.close(),
            }
        });
    }

    /// Closes idle connections that can't be used any more.
    pub fn sweep(&self) {
        let mut idle = self.idle.lock().expect("the pool's lock is never poisoned");
        for connections in idle.values_mut() {
            connections.retain_mut(ServerConnection::is_reusable);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
