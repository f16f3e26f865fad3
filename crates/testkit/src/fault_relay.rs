//! TCP relay that injects faults into connections.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    routing::{get, post},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::{JoinHandle, JoinSet},
};

use crate::{
    ConnectionNumber, ListenAddresses, RelayCommand, RelayMode, relay_connections::RelayConnections,
};

/// Size of the buffer for each direction of a connection.
const CHUNK_BYTES: usize = 16 * 1024;
/// Pause after a failed accept.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Relay to one target address. Dropping it closes all connections.
pub struct FaultRelay {
    address: SocketAddr,
    control_address: SocketAddr,
    connections: Arc<RelayConnections>,
    tasks: Vec<JoinHandle<()>>,
}

impl FaultRelay {
    /// Starts a relay to `target` on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start(target: SocketAddr) -> io::Result<FaultRelay> {
        FaultRelay::start_at(ListenAddresses::default(), target).await
    }

    /// Starts a relay to `target` on the given addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start_at(listen: ListenAddresses, target: SocketAddr) -> io::Result<FaultRelay> {
        let connections = Arc::new(RelayConnections::new());
        let listener = TcpListener::bind(listen.service).await?;
        let address = listener.local_addr()?;
        let control_listener = TcpListener::bind(listen.control).await?;
        let control_address = control_listener.local_addr()?;
        let control = Router::new()
            .route("/control/relay", post(apply_command))
            .route("/control/connections", get(list_connections))
            .with_state(Arc::clone(&connections));
        let accept_task =
            tokio::spawn(accept_connections(listener, target, Arc::clone(&connections)));
        let control_task = tokio::spawn(async move {
            let _ = axum::serve(control_listener, control).await;
        });
        let tasks = vec![accept_task, control_task];
        Ok(FaultRelay { address, control_address, connections, tasks })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control endpoint.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Changes the mode of the connections that `command` selects.
    pub fn apply(&self, command: RelayCommand) {
        self.connections.apply(command);
    }

    /// Returns the open connections in order of acceptance.
    pub fn open_connections(&self) -> Vec<ConnectionNumber> {
        self.connections.open_connections()
    }

    /// Closes all connections and waits until the tasks have ended.
    pub async fn close(mut self) {
        for task in std::mem::take(&mut self.tasks) {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Drop for FaultRelay {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    connections: Arc<RelayConnections>,
) {
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let connections = Arc::clone(&connections);
        tasks.spawn(async move {
            let (number, mode) = connections.register();
            // If the target can't be reached, the client's connection is closed. A client behind
            // any relay sees the same when the server is dead.
            let _ = relay_connection(client, target, mode).await;
            connections.unregister(number);
        });
    }
}

async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<RelayMode>,
) -> io::Result<()> {
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut cut = mode.clone();
    let copies = async {
        // An error in one direction ends both, so that a reset reaches the other side.
        tokio::try_join!(
            copy_bytes(client_read, server_write, mode.clone()),
            copy_bytes(server_read, client_write, mode.clone()),
        )
    };
    tokio::select! {
        _ = copies => {}
        _ = cut.wait_for(|mode| *mode == RelayMode::Cut) => {}
    }
    Ok(())
}

/// Copies the bytes of one direction as `mode` says, until the connection ends.
async fn copy_bytes(
    mut source: OwnedReadHalf,
    mut sink: OwnedWriteHalf,
    mut mode: watch::Receiver<RelayMode>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let current = *mode.borrow_and_update();
        if current == RelayMode::Stall || current == RelayMode::Cut {
            if mode.changed().await.is_err() {
                return Ok(());
            }
            continue;
        }
        let read = tokio::select! {
            biased;
            _ = mode.changed() => continue,
            read = source.read(&mut chunk) => read?,
        };
        match (current, read) {
            (RelayMode::Discard, 0) => std::future::pending().await,
            (RelayMode::Discard, _) => {}
            (_, 0) => return sink.shutdown().await,
            (_, count) => sink.write_all(&chunk[..count]).await?,
        }
    }
}

async fn apply_command(
    State(connections): State<Arc<RelayConnections>>,
    Json(command): Json<RelayCommand>,
) -> StatusCode {
    connections.apply(command);
    StatusCode::NO_CONTENT
}

async fn list_connections(
    State(connections): State<Arc<RelayConnections>>,
) -> Json<Vec<ConnectionNumber>> {
    Json(connections.open_connections())
}
