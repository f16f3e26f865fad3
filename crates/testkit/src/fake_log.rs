//! Fake log service.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{ConnectInfo, DefaultBodyLimit, Path, Query, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use serde::Deserialize;
use serde_json::json;
use tokio::{sync::watch, time::Instant};

use crate::{
    ConnectionNumber, FakeServer, FaultCommand, FaultInjector, ListenAddresses, LogCommand,
    LogConfig, LogStats,
    log_core::{AppendResult, LogCore, ReadResult},
};

/// Maximum size of a request body. The record limit, which is usually lower, is checked afterwards.
const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Maximum time until a waiting read checks again whether an outage has begun.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    wait_ms: u64,
}

/// State shared by the handlers.
struct LogShared {
    core: Mutex<LogCore>,
    started_at: Instant,
    appended: watch::Sender<u64>,
    faults: Arc<FaultInjector>,
}

impl LogShared {
    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn core(&self) -> MutexGuard<'_, LogCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn slow_down(&self) {
        let slow = Duration::from_millis(self.core().slow_ms());
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
    }

    fn append(&self, topic: &str, body: Bytes) -> AppendResult {
        let now_ms = self.now_ms();
        let result = self.core().append(topic, body, now_ms);
        self.appended.send_modify(|count| *count += 1);
        result
    }

    fn write_late(&self, topic: &str, body: Bytes) {
        let now_ms = self.now_ms();
        self.core().write_late(topic, body, now_ms);
        self.appended.send_modify(|count| *count += 1);
    }
}

/// Fake log service. It keeps its records across `FaultCommand::Die` and `FaultCommand::Restart`.
pub struct FakeLog {
    server: FakeServer,
    shared: Arc<LogShared>,
}

impl FakeLog {
    /// Starts a log service on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start(config: LogConfig) -> io::Result<FakeLog> {
        FakeLog::start_at(ListenAddresses::default(), config).await
    }

    /// Starts a log service on the given addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start_at(listen: ListenAddresses, config: LogConfig) -> io::Result<FakeLog> {
        let faults = FaultInjector::new(|_| {});
        let shared = Arc::new(LogShared {
            core: Mutex::new(LogCore::new(config)),
            started_at: Instant::now(),
            appended: watch::Sender::new(0),
            faults: Arc::clone(&faults),
        });
        let service = Router::new()
            .route("/topics/{topic}", get(read_records).post(append_record))
            .layer(DefaultBodyLimit::max(BODY_LIMIT_BYTES))
            .with_state(Arc::clone(&shared));
        let control = Router::new()
            .route("/control/log", post(apply_command))
            .route("/control/stats", get(read_stats))
            .with_state(Arc::clone(&shared));
        let server = FakeServer::start(listen, service, control, faults).await?;
        Ok(FakeLog { server, shared })
    }

    /// Returns the address of the log service.
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

    /// Applies a fault or setting of the log service.
    pub fn command(&self, command: LogCommand) {
        self.shared.core().apply(command);
    }

    /// Returns the statistics so far.
    pub fn stats(&self) -> LogStats {
        self.shared.core().stats()
    }

    /// Stops the log service.
    pub async fn close(self) {
        self.server.close().await;
    }
}

async fn append_record(
    State(shared): State<Arc<LogShared>>,
    ConnectInfo(connection): ConnectInfo<ConnectionNumber>,
    Path(topic): Path<String>,
    body: Bytes,
) -> Response {
    let writer = Arc::clone(&shared);
    // Spawned, so that the record is written even if the client closes its connection.
    let append = tokio::spawn(async move {
        writer.slow_down().await;
        let result = writer.append(&topic, body.clone());
        if let AppendResult::Late { delay_ms } = result {
            writer.faults.connections().reset_connection(connection);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            writer.write_late(&topic, body);
        }
        result
    });
    match append.await {
        Ok(AppendResult::Written { offset }) => Json(json!({ "offset": offset })).into_response(),
        Ok(AppendResult::Refused) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Ok(AppendResult::RateLimited) => StatusCode::TOO_MANY_REQUESTS.into_response(),
        Ok(AppendResult::TooLarge { limit }) => {
            (StatusCode::PAYLOAD_TOO_LARGE, Json(json!({ "limit": limit }))).into_response()
        }
        Ok(AppendResult::Late { .. } | AppendResult::Hang) => std::future::pending().await,
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn read_records(
    State(shared): State<Arc<LogShared>>,
    Path(topic): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    shared.slow_down().await;
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    let mut appended = shared.appended.subscribe();
    loop {
        let now_ms = shared.now_ms();
        let result = shared.core().read(&topic, query.from, now_ms);
        match result {
            ReadResult::Hang => return std::future::pending().await,
            ReadResult::Refused => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
            ReadResult::Expired { first } => {
                return (StatusCode::GONE, Json(json!({ "first_available": first })))
                    .into_response();
            }
            ReadResult::Batch { first, end, records } => {
                if !records.is_empty() || Instant::now() >= deadline {
                    return batch_body(first, end, &records).into_response();
                }
            }
        }
        let check_at = deadline.min(Instant::now() + WAIT_CHECK_INTERVAL);
        let _ = tokio::time::timeout_at(check_at, appended.changed()).await;
    }
}

fn batch_body(first: u64, end: u64, records: &[(u64, Bytes)]) -> Vec<u8> {
    let sizes: Vec<(u64, usize)> =
        records.iter().map(|(offset, body)| (*offset, body.len())).collect();
    let header = json!({ "first_available": first, "end": end, "sizes": sizes });
    let mut body = header.to_string().into_bytes();
    body.push(b'\n');
    for (_, record) in records {
        body.extend_from_slice(record);
    }
    body
}

async fn apply_command(
    State(shared): State<Arc<LogShared>>,
    Json(command): Json<LogCommand>,
) -> StatusCode {
    shared.core().apply(command);
    StatusCode::NO_CONTENT
}

async fn read_stats(State(shared): State<Arc<LogShared>>) -> Json<LogStats> {
    Json(shared.core().stats())
}
