//! Fake VM list.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    routing::{get, put},
};
use dragonflycart_interfaces::VmEntry;
use tokio::time::Instant;

use crate::{
    DirectoryConfig, FakeServer, FaultCommand, FaultInjector, ListenAddresses,
    lagged_value::LaggedValue,
};

/// State shared by the handlers.
struct DirectoryShared {
    entries: Mutex<LaggedValue<Vec<VmEntry>>>,
    lag_ms: AtomicU64,
    started_at: Instant,
}

impl DirectoryShared {
    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn entries(&self) -> MutexGuard<'_, LaggedValue<Vec<VmEntry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn replace(&self, entries: Vec<VmEntry>) {
        let lag_ms = self.lag_ms.load(Ordering::Relaxed);
        self.entries().record(self.now_ms(), entries, lag_ms);
    }
}

/// Fake VM list. A change becomes visible to readers after the configured lag.
pub struct FakeDirectory {
    server: FakeServer,
    shared: Arc<DirectoryShared>,
}

impl FakeDirectory {
    /// Starts a VM list on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start(config: DirectoryConfig) -> io::Result<FakeDirectory> {
        FakeDirectory::start_at(ListenAddresses::default(), config).await
    }

    /// Starts a VM list on the given addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start_at(
        listen: ListenAddresses,
        config: DirectoryConfig,
    ) -> io::Result<FakeDirectory> {
        let shared = Arc::new(DirectoryShared {
            entries: Mutex::new(LaggedValue::new(0, config.entries)),
            lag_ms: AtomicU64::new(config.lag_ms),
            started_at: Instant::now(),
        });
        let service =
            Router::new().route("/vms", get(read_entries)).with_state(Arc::clone(&shared));
        let control = Router::new()
            .route("/control/vms", put(replace_entries))
            .route("/control/lag", put(change_lag))
            .with_state(Arc::clone(&shared));
        let faults = FaultInjector::new(|_| {});
        let server = FakeServer::start(listen, service, control, faults).await?;
        Ok(FakeDirectory { server, shared })
    }

    /// Returns the address of the VM list.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the server, which holds the control address and the fault injector.
    pub fn server(&self) -> &FakeServer {
        &self.server
    }

    /// Starts or ends a fault.
    pub fn fault(&self, command: &FaultCommand) {
        self.server.faults().apply(command);
    }

    /// Replaces the entries; readers see them after the lag.
    pub fn replace(&self, entries: Vec<VmEntry>) {
        self.shared.replace(entries);
    }

    /// Changes the lag. A longer lag applies to changes made from now on.
    pub fn set_lag(&self, lag_ms: u64) {
        self.shared.lag_ms.store(lag_ms, Ordering::Relaxed);
    }

    /// Stops the VM list.
    pub async fn close(self) {
        self.server.close().await;
    }
}

async fn read_entries(State(shared): State<Arc<DirectoryShared>>) -> Json<Vec<VmEntry>> {
    let lag_ms = shared.lag_ms.load(Ordering::Relaxed);
    Json(shared.entries().read(shared.now_ms(), lag_ms))
}

async fn replace_entries(
    State(shared): State<Arc<DirectoryShared>>,
    Json(entries): Json<Vec<VmEntry>>,
) -> StatusCode {
    shared.replace(entries);
    StatusCode::NO_CONTENT
}

async fn change_lag(
    State(shared): State<Arc<DirectoryShared>>,
    Json(lag_ms): Json<u64>,
) -> StatusCode {
    shared.lag_ms.store(lag_ms, Ordering::Relaxed);
    StatusCode::NO_CONTENT
}
