//! Fake weight store.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use dragonflycart_core::{ModelName, VersionName};
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use crate::{
    FakeServer, FaultCommand, FaultInjector, ListenAddresses, WeightConfig, WeightStats,
    rate_limiter::RateLimiter,
};

#[derive(Deserialize)]
struct LoadBody {
    model: ModelName,
    version: VersionName,
}

/// State of the fake weight store.
struct WeightCore {
    rate_limiter: RateLimiter,
    stats: WeightStats,
}

/// State shared by the handlers.
struct WeightShared {
    core: Mutex<WeightCore>,
    started_at: Instant,
}

impl WeightShared {
    fn core(&self) -> MutexGuard<'_, WeightCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Fake weight store. It gives permission to load weights, at a limited rate.
pub struct FakeWeights {
    server: FakeServer,
    shared: Arc<WeightShared>,
}

impl FakeWeights {
    /// Starts a weight store on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start(config: WeightConfig) -> io::Result<FakeWeights> {
        FakeWeights::start_at(ListenAddresses::default(), config).await
    }

    /// Starts a weight store on the given addresses.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed bind.
    pub async fn start_at(
        listen: ListenAddresses,
        config: WeightConfig,
    ) -> io::Result<FakeWeights> {
        let rate_limiter = RateLimiter::new(config.loads_per_second);
        let core = Mutex::new(WeightCore { rate_limiter, stats: WeightStats::default() });
        let shared = Arc::new(WeightShared { core, started_at: Instant::now() });
        let service =
            Router::new().route("/loads", post(begin_load)).with_state(Arc::clone(&shared));
        let control =
            Router::new().route("/control/stats", get(read_stats)).with_state(Arc::clone(&shared));
        let faults = FaultInjector::new(|_| {});
        let server = FakeServer::start(listen, service, control, faults).await?;
        Ok(FakeWeights { server, shared })
    }

    /// Returns the address of the weight store.
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

    /// Returns the statistics so far.
    pub fn stats(&self) -> WeightStats {
        self.shared.core().stats.clone()
    }

    /// Stops the weight store.
    pub async fn close(self) {
        self.server.close().await;
    }
}

async fn begin_load(State(shared): State<Arc<WeightShared>>, body: Bytes) -> Response {
    // Not taken as `Json`, which would refuse the body: the client sends no content type.
    let Ok(body) = serde_json::from_slice::<LoadBody>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let now_ms = shared.started_at.elapsed().as_millis() as u64;
    let mut core = shared.core();
    match core.rate_limiter.try_acquire(now_ms) {
        Ok(()) => {
            core.stats.begun.push((body.model, body.version));
            StatusCode::NO_CONTENT.into_response()
        }
        Err(retry_after_ms) => {
            core.stats.rate_limited += 1;
            let body = Json(json!({ "retry_after_ms": retry_after_ms }));
            (StatusCode::TOO_MANY_REQUESTS, body).into_response()
        }
    }
}

async fn read_stats(State(shared): State<Arc<WeightShared>>) -> Json<WeightStats> {
    Json(shared.core().stats.clone())
}
