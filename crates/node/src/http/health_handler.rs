//! Health and metrics. Nothing here waits for the control thread or for another system, so that a
//! slow dependency can't make the load balancer remove every VM at once.

use axum::{
    extract::State,
    http::{StatusCode, header},
    response::IntoResponse,
};

use crate::http::CallerApi;

/// Content type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers while the process runs.
pub(crate) async fn get_health() -> impl IntoResponse {
    (StatusCode::OK, "alive\n")
}

/// Answers whether the load balancer should send work here.
pub(crate) async fn get_ready(State(api): State<CallerApi>) -> impl IntoResponse {
    let phase = *api.phase.borrow();
    let status = if phase.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (status, format!("{phase}\n"))
}

/// Answers with all metrics.
pub(crate) async fn get_metrics(State(api): State<CallerApi>) -> impl IntoResponse {
    let metrics = &api.runner.metrics;
    metrics.open_streams.set(api.store.open_count() as i64);
    ([(header::CONTENT_TYPE, METRICS_TYPE)], metrics.render())
}
