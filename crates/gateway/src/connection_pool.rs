//! Idle connections to backend servers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;

use crate::{
    ConnectionError, HttpCall, ResponseHead, ServerConnection,
    contacts::{ServerConnector, ServerContacts, TcpConnector},
    server_connection::CONNECT_TIMEOUT,
};

/// Maximum number of idle connections per server.
const IDLE_PER_SERVER: usize = 4;
/// Maximum time to read the rest of an unneeded response.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum size of an unneeded response that is read to keep its connection, in bytes.
const DISCARD_BYTES: usize = 16 * 1024;

/// Pool of idle connections by server address.
pub struct ConnectionPool {
    connector: Box<dyn ServerConnector>,
    idle: Mutex<BTreeMap<SocketAddr, Vec<ServerConnection>>>,
    contacts: ServerContacts,
}

impl Default for ConnectionPool {
    fn default() -> ConnectionPool {
        ConnectionPool::new(Box::new(TcpConnector))
    }
}

impl ConnectionPool {
    /// Builds an empty pool whose connections `connector` opens.
    pub fn new(connector: Box<dyn ServerConnector>) -> ConnectionPool {
        ConnectionPool { connector, idle: Mutex::default(), contacts: ServerContacts::default() }
    }

    /// Returns the contacts with the servers.
    pub(crate) fn contacts(&self) -> &ServerContacts {
        &self.contacts
    }

    /// Returns an idle connection to a server, or opens one.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::NotListening`] or [`ConnectionError::Unreachable`] if the
    /// connection can't be established.
    pub async fn acquire(&self, address: SocketAddr) -> Result<ServerConnection, ConnectionError> {
        let mut connection = match self.take_reusable(address) {
            Some(connection) => connection,
            None => self.connect(address, CONNECT_TIMEOUT).await?,
        };
        connection.follow(self.contacts.contact(address).open());
        Ok(connection)
    }

    /// Opens a connection to a server within `limit`.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<ServerConnection, ConnectionError> {
        self.connector.connect(address, limit).await
    }

    /// Sends a call to a server on a connection of its own, and records that the server was heard.
    ///
    /// # Errors
    ///
    /// As for [`HttpCall::send`].
    pub(crate) async fn call(
        &self,
        call: &HttpCall,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<(ResponseHead, Bytes), ConnectionError> {
        let response = call.send_for_head(address, timeout).await;
        if response.is_ok() {
            self.contacts.note_answer(address);
        }
        response
    }

    /// Returns an idle connection to a server on which the request with this identity was not sent
    /// before, if there is one. Opens none.
    pub(crate) fn take_kept(
        &self,
        address: SocketAddr,
        identity: &str,
    ) -> Option<ServerConnection> {
        while let Some(mut connection) = self.take_reusable(address) {
            if !connection.has_served(identity) {
                connection.follow(self.contacts.contact(address).open());
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    /// Returns a connection on which the request with this identity was not sent before.
    ///
    /// # Errors
    ///
    /// As for [`ConnectionPool::acquire`].
    pub async fn acquire_for(
        &self,
        address: SocketAddr,
        identity: &str,
    ) -> Result<ServerConnection, ConnectionError> {
        loop {
            let connection = self.acquire(address).await?;
            if !connection.has_served(identity) {
                return Ok(connection);
            }
            connection.close();
        }
    }

    fn take_reusable(&self, address: SocketAddr) -> Option<ServerConnection> {
        while let Some(mut connection) = self.take_idle(address) {
            if connection.is_reusable() {
                return Some(connection);
            }
            connection.close();
        }
        None
    }

    fn take_idle(&self, address: SocketAddr) -> Option<ServerConnection> {
        self.idle.lock().expect("the pool's lock is never poisoned").get_mut(&address)?.pop()
    }

    /// Returns a connection to the pool, or closes it if it can't be reused.
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

    /// Reads the rest of an unneeded short response in the background, then returns the connection
    /// to the pool.
    pub fn put_back_after_body(
        self: &Arc<ConnectionPool>,
        address: SocketAddr,
        connection: ServerConnection,
    ) {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let mut connection = connection;
            let body =
                tokio::time::timeout(DISCARD_TIMEOUT, connection.discard_body(DISCARD_BYTES)).await;
            match body {
                Ok(Ok(())) => pool.put_back(address, connection),
                Ok(Err(_)) | Err(_) => connection.close(),
            }
        });
    }

    /// Closes idle connections that can no longer be used, and forgets contacts that are over.
    pub fn sweep(&self) {
        let mut idle = self.idle.lock().expect("the pool's lock is never poisoned");
        for connections in idle.values_mut() {
            connections.retain_mut(ServerConnection::is_reusable);
        }
        idle.retain(|_, connections| !connections.is_empty());
        drop(idle);
        self.contacts.sweep();
    }
}
