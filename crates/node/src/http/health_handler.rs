//! Handlers for health checks and metrics. None of them waits for the control thread or for another
//! system, so that a slow dependency can't make the load balancer remove all VMs at once.

use axum::{
    extract::State,
    http::{StatusCode, header},
    response::IntoResponse,
};

use crate::http::CallerApi;

/// Content type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Liveness check: succeeds while the process runs.
pub(crate) async fn get_health() -> impl IntoResponse {
    (StatusCode::OK, "alive\n")
}

/// Readiness check: succeeds if the load balancer should send work to this VM.
pub(crate) async fn get_ready(State(api): State<CallerApi>) -> impl IntoResponse {
    let phase = *api.phase.borrow();
    let status = if phase.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (status, format!("{phase}\n"))
}

/// Returns all metrics.
pub(crate) async fn get_metrics(State(api): State<CallerApi>) -> impl IntoResponse {
    let metrics = &api.runner.metrics;
    metrics.open_streams.set(api.store.open_count() as i64);
    ([(header::CONTENT_TYPE, METRICS_TYPE)], metrics.render())
}
