//! Fake inference engine.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{Path, Query, State},
    http::StatusCode,
    response::{
        IntoResponse, Response,
        sse::{Event, Sse},
    },
    routing::{delete, get, post},
};
use dragonflycart_core::{OrderFence, ServerInstance};
use dragonflycart_engine::{EngineOrder, GenerationRequest, StreamEvent};
use futures::Stream;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    EngineCommand, EngineConfig, EngineStats, FakeServer, FaultCommand, FaultInjector,
    ListenAddresses,
    engine_core::{EngineCore, StartRefusal},
    generation_record::NextEvent,
};

#[derive(Deserialize)]
struct EventsQuery {
    from: u64,
}

#[derive(Deserialize)]
struct CacheQuery {
    after: u64,
}

#[derive(Deserialize)]
struct OrderBody {
    #[serde(flatten)]
    order: EngineOrder,
    fence: OrderFence,
}

/// State shared by the handlers and the decode task.
struct EngineShared {
    core: Mutex<EngineCore>,
    started_at: Instant,
}

impl EngineShared {
    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn core(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Fake inference engine. Its tokens are deterministic, so that tests can check them; see
/// [`crate::TokenSource`].
pub struct FakeEngine {
    server: FakeServer,
    shared: Arc<EngineShared>,
}

impl FakeEngine {
    /// Starts an engine on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start(config: EngineConfig) -> io::Result<FakeEngine> {
        FakeEngine::start_at(ListenAddresses::default(), config).await
    }

    /// Starts an engine on the given addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start_at(listen: ListenAddresses, config: EngineConfig) -> io::Result<FakeEngine> {
        let slot: Arc<OnceLock<Arc<EngineShared>>> = Arc::default();
        let hook_slot = Arc::clone(&slot);
        let faults = FaultInjector::new(move |instance: ServerInstance| {
            if let Some(shared) = hook_slot.get() {
                let now_ms = shared.now_ms();
                shared.core().restart(instance, now_ms);
            }
        });
        let core = Mutex::new(EngineCore::new(config, faults.instance()));
        let shared = Arc::new(EngineShared { core, started_at: Instant::now() });
        let _ = slot.set(Arc::clone(&shared));
        let service = service_routes(Arc::clone(&shared));
        let control = control_routes(Arc::clone(&shared));
        let decode = decode_steps(Arc::clone(&shared), Arc::clone(&faults));
        let mut server = FakeServer::start(listen, service, control, faults).await?;
        server.add_task(tokio::spawn(decode));
        Ok(FakeEngine { server, shared })
    }

    /// Returns the address of the engine.
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

    /// Applies a fault or setting of the engine.
    pub fn command(&self, command: EngineCommand) {
        let now_ms = self.shared.now_ms();
        self.shared.core().apply(command, now_ms);
    }

    /// Returns the statistics so far.
    pub fn stats(&self) -> EngineStats {
        self.shared.core().stats()
    }

    /// Returns the number of generations in the batch.
    pub fn running(&self) -> u32 {
        self.shared.core().running()
    }

    /// Returns the number of generations that have arrived and not ended.
    pub fn open_count(&self) -> usize {
        self.shared.core().open_count()
    }

    /// Stops the engine.
    pub async fn close(self) {
        self.server.close().await;
    }
}

async fn decode_steps(shared: Arc<EngineShared>, faults: Arc<FaultInjector>) {
    let mut next_step = Instant::now();
    loop {
        let pace = Duration::from_millis(shared.core().config().pace_ms.max(1));
        // Computed from the previous deadline, so that the steps don't drift. Missed steps are
        // skipped.
        next_step = (next_step + pace).max(Instant::now());
        tokio::time::sleep_until(next_step).await;
        if faults.connections().is_frozen() {
            continue;
        }
        let now_ms = shared.now_ms();
        shared.core().step(now_ms);
        let crashes = shared.core().has_crashing_prompt();
        if crashes {
            faults.apply(&FaultCommand::Restart);
        }
    }
}

fn service_routes(shared: Arc<EngineShared>) -> Router {
    Router::new()
        .route("/v1/generations", post(start_generation))
        .route("/v1/generations/{generation}", delete(cancel_generation))
        .route("/v1/generations/{generation}/events", get(resume_generation))
        .route("/v1/load", get(read_load))
        .route("/v1/orders", post(accept_order))
        .route("/v1/cache-events", get(read_cache_events))
        .with_state(shared)
}

fn control_routes(shared: Arc<EngineShared>) -> Router {
    Router::new()
        .route("/control/engine", post(apply_command))
        .route("/control/stats", get(read_stats))
        .with_state(shared)
}

fn refusal(status: StatusCode, message: &str) -> Response {
    (status, Json(json!({ "message": message }))).into_response()
}

async fn start_generation(
    State(shared): State<Arc<EngineShared>>,
    Json(request): Json<GenerationRequest>,
) -> Response {
    let generation = request.generation.clone();
    let from = request.forced_prefix.len() as u64;
    let delay = Duration::from_millis(shared.core().config().start_delay_ms);
    let starter = Arc::clone(&shared);
    let start = async move {
        tokio::time::sleep(delay).await;
        let now_ms = starter.now_ms();
        starter.core().start(request, now_ms)
    };
    let started = if delay.is_zero() {
        start.await
    } else {
        // Spawned, so that the generation is accepted even if the client closes its connection.
        match tokio::spawn(start).await {
            Ok(started) => started,
            Err(_) => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        }
    };
    match started {
        Ok(()) => stream_response(shared, generation, from),
        Err(StartRefusal::Leaving) => {
            refusal(StatusCode::SERVICE_UNAVAILABLE, "the engine is leaving")
        }
        Err(StartRefusal::NotLoaded) => {
            refusal(StatusCode::UNPROCESSABLE_ENTITY, "the version is not loaded")
        }
        Err(StartRefusal::AlreadyKnown) => {
            refusal(StatusCode::CONFLICT, "the generation is already known")
        }
        Err(StartRefusal::PrefixMismatch) => {
            refusal(StatusCode::UNPROCESSABLE_ENTITY, "the forced prefix does not match")
        }
        Err(StartRefusal::Overloaded) => {
            refusal(StatusCode::INTERNAL_SERVER_ERROR, "overloaded in cold start")
        }
    }
}

async fn resume_generation(
    State(shared): State<Arc<EngineShared>>,
    Path(generation): Path<String>,
    Query(query): Query<EventsQuery>,
) -> Response {
    let event = shared.core().event_at(&generation, query.from);
    match event {
        None => refusal(StatusCode::NOT_FOUND, "the generation is unknown"),
        Some(NextEvent::End) => {
            refusal(StatusCode::CONFLICT, "the output has not reached this position")
        }
        Some(_) => stream_response(shared, generation, query.from),
    }
}

async fn cancel_generation(
    State(shared): State<Arc<EngineShared>>,
    Path(generation): Path<String>,
) -> Response {
    let now_ms = shared.now_ms();
    if shared.core().cancel(&generation, now_ms) {
        StatusCode::NO_CONTENT.into_response()
    } else {
        refusal(StatusCode::NOT_FOUND, "the generation is unknown")
    }
}

async fn read_load(State(shared): State<Arc<EngineShared>>) -> Response {
    let now_ms = shared.now_ms();
    Json(shared.core().report(now_ms)).into_response()
}

async fn accept_order(
    State(shared): State<Arc<EngineShared>>,
    Json(body): Json<OrderBody>,
) -> Response {
    let now_ms = shared.now_ms();
    let outcome = shared.core().order(body.order, body.fence, now_ms);
    Json(json!({ "outcome": outcome })).into_response()
}

async fn read_cache_events(
    State(shared): State<Arc<EngineShared>>,
    Query(query): Query<CacheQuery>,
) -> Response {
    let now_ms = shared.now_ms();
    Json(json!({ "events": shared.core().cache_events(query.after, now_ms) })).into_response()
}

async fn apply_command(
    State(shared): State<Arc<EngineShared>>,
    Json(command): Json<EngineCommand>,
) -> StatusCode {
    let now_ms = shared.now_ms();
    shared.core().apply(command, now_ms);
    StatusCode::NO_CONTENT
}

async fn read_stats(State(shared): State<Arc<EngineShared>>) -> Json<EngineStats> {
    Json(shared.core().stats())
}

fn stream_response(shared: Arc<EngineShared>, generation: String, from: u64) -> Response {
    Sse::new(stream_events(shared, generation, from)).into_response()
}

/// Streams the events of `generation` from token `from` on. The stream ends after the last event,
/// or early if a restart drops the generation.
fn stream_events(
    shared: Arc<EngineShared>,
    generation: String,
    from: u64,
) -> impl Stream<Item = Result<Event, Infallible>> {
    futures::stream::unfold(Some((shared, generation, from)), |state| async move {
        let (shared, generation, index) = state?;
        let event = next_event(&shared, &generation, index).await?;
        let id = format!("{generation}:{index}");
        let next = match &event {
            StreamEvent::Token { .. } => Some((shared, generation, index + 1)),
            StreamEvent::Heartbeat { .. } => Some((shared, generation, index)),
            StreamEvent::Finished { .. } | StreamEvent::Failed { .. } => None,
        };
        let event = Event::default().id(id).json_data(&event).ok()?;
        Some((Ok(event), next))
    })
}

async fn next_event(shared: &EngineShared, generation: &str, index: u64) -> Option<StreamEvent> {
    let heartbeat_ms = shared.core().config().heartbeat_ms;
    let heartbeat_at = Instant::now() + Duration::from_millis(heartbeat_ms);
    loop {
        let event = shared.core().event_at(generation, index)?;
        let mut changes = match event {
            NextEvent::Ready(event) => return Some(event),
            NextEvent::End => return None,
            NextEvent::Wait(changes) => changes,
        };
        let changed = tokio::time::timeout_at(heartbeat_at, changes.changed()).await;
        match changed {
            Ok(Ok(())) => {}
            // The generation was dropped by a restart.
            Ok(Err(_)) => return None,
            Err(_) => return Some(StreamEvent::Heartbeat { generation: generation.to_owned() }),
        }
    }
}
