//! HTTP server of a fake, with its control endpoint.

use std::{io, net::SocketAddr, sync::Arc};

use axum::{Json, Router, extract::State, http::StatusCode, routing::post};
use tokio::{net::TcpListener, task::JoinHandle};

use crate::{ConnectionNumber, FaultCommand, FaultInjector, FaultListener, ListenAddresses};

/// Running server of a fake. Dropping it stops it.
pub struct FakeServer {
    address: SocketAddr,
    control_address: SocketAddr,
    faults: Arc<FaultInjector>,
    tasks: Vec<JoinHandle<()>>,
}

impl FakeServer {
    /// Serves `service` with the faults of `faults`. The routes of `control` and `/control/fault`
    /// are served on a separate address, without faults.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub(crate) async fn start(
        listen: ListenAddresses,
        service: Router,
        control: Router,
        faults: Arc<FaultInjector>,
    ) -> io::Result<FakeServer> {
        let listener = FaultListener::bind(listen.service, Arc::clone(&faults)).await?;
        let address = listener.address();
        let service =
            faults.wrap(service).into_make_service_with_connect_info::<ConnectionNumber>();
        let service_task = tokio::spawn(async move {
            let _ = axum::serve(listener, service).await;
        });
        let control_listener = TcpListener::bind(listen.control).await?;
        let control_address = control_listener.local_addr()?;
        let fault_routes = Router::new()
            .route("/control/fault", post(apply_fault))
            .with_state(Arc::clone(&faults));
        let control = control.merge(fault_routes);
        let control_task = tokio::spawn(async move {
            let _ = axum::serve(control_listener, control).await;
        });
        let tasks = vec![service_task, control_task];
        Ok(FakeServer { address, control_address, faults, tasks })
    }

    /// Adds a task to abort when the server stops.
    pub(crate) fn add_task(&mut self, task: JoinHandle<()>) {
        self.tasks.push(task);
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control endpoint.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Returns the fault injector.
    pub fn faults(&self) -> &Arc<FaultInjector> {
        &self.faults
    }

    /// Closes all connections and waits until the tasks have ended.
    pub async fn close(mut self) {
        self.faults.connections().die();
        for task in std::mem::take(&mut self.tasks) {
            task.abort();
            let _ = task.await;
        }
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.faults.connections().die();
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn apply_fault(
    State(faults): State<Arc<FaultInjector>>,
    Json(command): Json<FaultCommand>,
) -> StatusCode {
    faults.apply(&command);
    StatusCode::NO_CONTENT
}
