//! Routes of the HTTP API for callers, and the state that its handlers share.

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    body::{Body, to_bytes},
    http::{StatusCode, Uri},
    response::IntoResponse,
    routing::{get, post},
};
use bytes::Bytes;
use dragonflycart_core::{ErrorKind, MonoTime, ServiceError};
use dragonflycart_settings::Config;
use tokio::sync::watch;

use crate::{
    generation::{GenerationStore, RunnerContext},
    http::{ErrorResponse, generation_handler, health_handler, job_handler, service_handler},
    node_clock::NodeClock,
    node_lifecycle::LifecyclePhase,
};

/// Time for which the body of a request is still read after the VM stopped accepting work. The
/// request is rejected in any case; a caller that is still sending might not read the response.
const LATE_BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by the handlers of the HTTP API for callers.
#[derive(Clone)]
pub(crate) struct CallerApi {
    /// Settings.
    pub(crate) config: Arc<Config>,
    /// Clocks.
    pub(crate) clock: NodeClock,
    /// Shared state that generations and calls run with.
    pub(crate) runner: RunnerContext,
    /// Generations on this VM.
    pub(crate) store: Arc<GenerationStore>,
    /// Phase of the daemon.
    pub(crate) phase: watch::Receiver<LifecyclePhase>,
    /// Becomes true when callers must continue their streams at another VM.
    pub(crate) handover: watch::Receiver<bool>,
}

impl CallerApi {
    /// Builds the routes.
    pub(crate) fn router(self) -> Router {
        Router::new()
            .route("/v1/completions", post(generation_handler::post_completion))
            .route("/v1/generations/{id}", get(generation_handler::get_generation))
            .route("/v1/jobs", post(job_handler::post_job))
            .route("/v1/jobs/{key}", get(job_handler::get_job))
            .route("/v1/calls/{key}", get(service_handler::get_call))
            .route("/v1/services/{service}/{operation}", post(service_handler::post_call))
            .route("/healthz", get(health_handler::get_health))
            .route("/readyz", get(health_handler::get_ready))
            .route("/metrics", get(health_handler::get_metrics))
            .fallback(unknown_path)
            .method_not_allowed_fallback(unknown_method)
            .with_state(self)
    }

    /// Checks that the daemon is in a phase in which it accepts work.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Draining`] while the VM starts or stops.
    pub(crate) fn check_phase(&self) -> Result<(), ServiceError> {
        let phase = *self.phase.borrow();
        if phase.accepts_work() {
            return Ok(());
        }
        Err(ServiceError::new(ErrorKind::Draining, format!("the VM takes no work; it is {phase}")))
    }

    /// Reads a body of up to the configured size.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TooLarge`], [`ErrorKind::BadRequest`] if the connection breaks, or
    /// [`ErrorKind::Draining`] if the body is incomplete although the VM accepts no work any more.
    pub(crate) async fn read_body(&self, body: Body) -> Result<Bytes, ServiceError> {
        let limit = self.config.limits.body;
        let read = tokio::select! {
            read = to_bytes(body, limit) => read,
            () = self.late_body_timeout() => {
                let message = "the VM stops; the body did not arrive in time";
                return Err(ServiceError::new(ErrorKind::Draining, message));
            }
        };
        read.map_err(|error| {
            let source = std::error::Error::source(&error);
            if source.is_some_and(|source| source.to_string().contains("length limit")) {
                let message = format!("body: at most {limit} bytes are allowed");
                return ServiceError::new(ErrorKind::TooLarge, message);
            }
            ServiceError::new(ErrorKind::BadRequest, "body: the connection ended early")
        })
    }

    /// Waits until bodies are no longer read because the VM stops.
    async fn late_body_timeout(&self) {
        let mut phase = self.phase.clone();
        // The sender is dropped only after it has published the last phase.
        let _ = phase.wait_for(|phase| phase.is_stopping()).await;
        tokio::time::sleep(LATE_BODY_TIMEOUT).await;
    }

    /// Returns the deadline of a request: `asked` from now, or `default` if the caller set none.
    pub(crate) fn deadline(&self, asked: Option<Duration>, default: Duration) -> MonoTime {
        self.clock.now() + asked.unwrap_or(default)
    }

    /// Counts an error and converts it to a response.
    pub(crate) fn error_response(&self, error: ServiceError) -> ErrorResponse {
        self.runner.metrics.count_error(error.kind());
        ErrorResponse(error)
    }
}

async fn unknown_path(uri: Uri) -> impl IntoResponse {
    let message = format!("{}: no such path", uri.path());
    ErrorResponse(ServiceError::new(ErrorKind::NotFound, message))
}

async fn unknown_method(uri: Uri) -> impl IntoResponse {
    let message = format!("{}: the method is not allowed here", uri.path());
    let response = ErrorResponse(ServiceError::new(ErrorKind::BadRequest, message));
    (StatusCode::METHOD_NOT_ALLOWED, response)
}
