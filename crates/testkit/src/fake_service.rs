//! Fake of a plain service, that is, a backend server that is not an inference engine.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, State},
    http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use dragonflycart_core::ServerInstance;
use dragonflycart_engine::protocol::{
    IDEMPOTENCY_KEY_HEADER, ORDINAL_HEADER, OUTCOME_STATUS_HEADER, REQUEST_ID_HEADER,
};
use tokio::time::Instant;

use crate::{
    ExecutedCall, FakeServer, FaultCommand, FaultInjector, ListenAddresses, ServiceCommand,
    ServiceConfig, ServiceStats, service_core::ServiceCore,
};

/// State shared by the handlers.
struct ServiceShared {
    core: Mutex<ServiceCore>,
    started_at: Instant,
}

impl ServiceShared {
    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn core(&self) -> MutexGuard<'_, ServiceCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Fake plain service that records every executed call.
pub struct FakeService {
    server: FakeServer,
    shared: Arc<ServiceShared>,
}

impl FakeService {
    /// Starts a service on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start(config: ServiceConfig) -> io::Result<FakeService> {
        FakeService::start_at(ListenAddresses::default(), config).await
    }

    /// Starts a service on the given addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start_at(
        listen: ListenAddresses,
        config: ServiceConfig,
    ) -> io::Result<FakeService> {
        let slot: Arc<OnceLock<Arc<ServiceShared>>> = Arc::default();
        let hook_slot = Arc::clone(&slot);
        let faults = FaultInjector::new(move |instance: ServerInstance| {
            if let Some(shared) = hook_slot.get() {
                let now_ms = shared.now_ms();
                shared.core().restart(instance, now_ms);
            }
        });
        let core = Mutex::new(ServiceCore::new(config, faults.instance()));
        let shared = Arc::new(ServiceShared { core, started_at: Instant::now() });
        let _ = slot.set(Arc::clone(&shared));
        let service = Router::new()
            .route("/v1/operations/{operation}", post(run_operation))
            .route("/v1/outcomes", get(look_up_outcome))
            .route("/v1/load", get(read_load))
            .with_state(Arc::clone(&shared));
        let control = Router::new()
            .route("/control/service", post(apply_command))
            .route("/control/stats", get(read_stats))
            .with_state(Arc::clone(&shared));
        let server = FakeServer::start(listen, service, control, faults).await?;
        Ok(FakeService { server, shared })
    }

    /// Returns the address of the service.
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

    /// Applies a fault or setting of the service.
    pub fn command(&self, command: ServiceCommand) {
        let now_ms = self.shared.now_ms();
        self.shared.core().apply(command, now_ms);
    }

    /// Returns the statistics so far.
    pub fn stats(&self) -> ServiceStats {
        self.shared.core().stats()
    }

    /// Returns the number of calls that are being executed.
    pub fn running(&self) -> u32 {
        self.shared.core().running()
    }

    /// Stops the service.
    pub async fn close(self) {
        self.server.close().await;
    }
}

fn owned_header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

async fn run_operation(
    State(shared): State<Arc<ServiceShared>>,
    Path(operation): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let call = ExecutedCall {
        request_id: owned_header(&headers, REQUEST_ID_HEADER),
        key: owned_header(&headers, IDEMPOTENCY_KEY_HEADER),
        operation,
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let ordinal = owned_header(&headers, ORDINAL_HEADER);
    let now_ms = shared.now_ms();
    if let Err(status) = shared.core().begin(ordinal.as_deref(), now_ms) {
        return StatusCode::from_u16(status)
            .unwrap_or(StatusCode::SERVICE_UNAVAILABLE)
            .into_response();
    }
    // Spawned, so that the call is executed even if the client closes its connection.
    let execution = tokio::spawn(async move {
        let delay = Duration::from_millis(shared.core().config().delay_ms);
        tokio::time::sleep(delay).await;
        let now_ms = shared.now_ms();
        shared.core().execute(call, ordinal.as_deref(), now_ms)
    });
    match execution.await {
        Ok(response_body) => ([(CONTENT_TYPE, "application/json")], response_body).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn look_up_outcome(State(shared): State<Arc<ServiceShared>>, headers: HeaderMap) -> Response {
    let Some(key) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let supported = shared.core().config().supports_lookup;
    let outcome = key.to_str().ok().and_then(|key| shared.core().outcome(key));
    let mut response = match outcome {
        Some(response_body) if supported => response_body.into_response(),
        _ => StatusCode::NOT_FOUND.into_response(),
    };
    response.headers_mut().insert(IDEMPOTENCY_KEY_HEADER, key.clone());
    response.headers_mut().insert(OUTCOME_STATUS_HEADER, HeaderValue::from_static("200"));
    response
}

async fn read_load(State(shared): State<Arc<ServiceShared>>) -> Response {
    let now_ms = shared.now_ms();
    Json(shared.core().report(now_ms)).into_response()
}

async fn apply_command(
    State(shared): State<Arc<ServiceShared>>,
    Json(command): Json<ServiceCommand>,
) -> StatusCode {
    let now_ms = shared.now_ms();
    shared.core().apply(command, now_ms);
    StatusCode::NO_CONTENT
}

async fn read_stats(State(shared): State<Arc<ServiceShared>>) -> Json<ServiceStats> {
    Json(shared.core().stats())
}
