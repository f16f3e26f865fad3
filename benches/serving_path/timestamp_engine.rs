//! Engine whose tokens contain the time of their emission.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    body::Body,
    extract::State,
    http::{HeaderMap, HeaderValue},
    response::Response,
    routing::{delete, get, post},
};
use dragonflycart_core::{ModelName, OrderFence, ServerInstance, VersionName};
use dragonflycart_engine::{
    FinishReason, GenerationRequest, LoadReport, StreamEvent,
    protocol::{GENERATIONS_PATH, INSTANCE_HEADER, LOAD_PATH, REQUEST_ID_HEADER},
};
use futures::stream;

/// Instance number of the engine's process.
const INSTANCE: u64 = 1;
/// Concurrent requests that the engine can handle; more than any measurement uses.
const CONCURRENCY_LIMIT: u32 = 100_000;

struct EngineState {
    start_time: Instant,
    period_us: AtomicU64,
}

/// Engine whose tokens contain the time of their emission, in microseconds.
pub(crate) struct TimestampEngine {
    address: SocketAddr,
    state: Arc<EngineState>,
}

impl TimestampEngine {
    /// Starts the engine on a loopback port.
    pub(crate) async fn start(period: Duration) -> std::io::Result<TimestampEngine> {
        let period_us = AtomicU64::new(period.as_micros() as u64);
        let state = Arc::new(EngineState { start_time: clock_start(), period_us });
        let router = Router::new()
            .route(GENERATIONS_PATH, post(generate))
            .route(&format!("{GENERATIONS_PATH}/{{id}}"), delete(cancel))
            .route(LOAD_PATH, get(load))
            .with_state(Arc::clone(&state));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(TimestampEngine { address, state })
    }

    /// Returns the address of the engine.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the time between the tokens of streams that start later.
    pub(crate) fn set_period(&self, period: Duration) {
        self.state.period_us.store(period.as_micros() as u64, Ordering::Relaxed);
    }
}

/// Returns the start of the clock that the engine and the callers share.
pub(crate) fn clock_start() -> Instant {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *START.get_or_init(Instant::now)
}

async fn cancel() {}

/// Adds the request ID and the engine's instance to the headers of a response.
fn insert_identity_headers(headers: &HeaderMap, response: &mut Response) {
    if let Some(id) = headers.get(REQUEST_ID_HEADER) {
        response.headers_mut().insert(REQUEST_ID_HEADER, id.clone());
    }
    response.headers_mut().insert(INSTANCE_HEADER, HeaderValue::from(INSTANCE));
}

async fn generate(
    State(state): State<Arc<EngineState>>,
    headers: HeaderMap,
    Json(request): Json<GenerationRequest>,
) -> Response {
    let period = Duration::from_micros(state.period_us.load(Ordering::Relaxed));
    let mut timer = tokio::time::interval(period);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let events = stream::unfold((timer, 0, request), move |(mut timer, index, request)| {
        let start_time = state.start_time;
        async move {
            let count = u64::from(request.max_tokens);
            if index > count {
                return None;
            }
            timer.tick().await;
            let generation = request.generation.clone();
            let epoch = request.epoch;
            let event = if index == count {
                StreamEvent::Finished { generation, epoch, reason: FinishReason::Length, count }
            } else {
                let text = format!("{} ", start_time.elapsed().as_micros());
                StreamEvent::Token { generation, epoch, index, id: index as u32, text }
            };
            let data = serde_json::to_string(&event).unwrap_or_default();
            let chunk = Ok::<String, std::convert::Infallible>(format!("data: {data}\n\n"));
            Some((chunk, (timer, index + 1, request)))
        }
    });
    let mut response = Response::new(Body::from_stream(events));
    insert_identity_headers(&headers, &mut response);
    response
}

async fn load(headers: HeaderMap) -> Response {
    let names = (ModelName::new("assistant"), VersionName::new("v1"));
    let (Ok(model), Ok(version)) = names else {
        return Response::new(Body::empty());
    };
    let report = LoadReport {
        instance: ServerInstance(INSTANCE),
        cold: false,
        concurrency_limit: CONCURRENCY_LIMIT,
        leaving: false,
        running: 0,
        waiting: 0,
        memory_used_tokens: 0,
        memory_total_tokens: 1_000_000_000,
        preemptions: 0,
        running_by_ordinal: Vec::new(),
        running_by_version: Vec::new(),
        loaded: vec![(model, version)],
        highest_fence: OrderFence::default(),
    };
    let body = serde_json::to_vec(&report).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    insert_identity_headers(&headers, &mut response);
    response
}
