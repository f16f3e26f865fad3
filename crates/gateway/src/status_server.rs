//! HTTP server for the load balancer's readiness probe, for metrics and for questions where a
//! request would go.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use dragonflycart_explanation::PLACEMENT_PATH;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tracing::warn;

use crate::{BootTime, GatewayContext, ResponseBody, explanation, response_body};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves the status address. `ready_path` is the path of the readiness probe.
pub async fn serve(context: Arc<GatewayContext>, listener: TcpListener, ready_path: &'static str) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(%error, "status: can't accept");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = respond(&context, &request, ready_path);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "status: connection ended");
            }
        });
    }
}

fn respond(
    context: &GatewayContext,
    request: &Request<Incoming>,
    ready_path: &str,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    if path == METRICS_PATH {
        return Response::new(response_body::full(Bytes::from(context.metrics.encode())));
    }
    if path == PLACEMENT_PATH {
        return explanation::answer(context, request.method(), request.uri());
    }
    let is_ready = !context.is_stopping() && context.view().is_complete() && accepts_keys(context);
    let status = match (path == ready_path, is_ready) {
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        (false, _) => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(response_body::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns whether requests that present an API key are served, or none needs to.
fn accepts_keys(context: &GatewayContext) -> bool {
    let needs_keys = context.view().plan().is_some_and(|plan| plan.has_teams());
    !needs_keys || context.freshness().allows_keys(BootTime::now())
}
