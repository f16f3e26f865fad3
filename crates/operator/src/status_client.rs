//! Client of the status addresses of several VMs.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dragonflycart_explanation::{
    PLACEMENT_PATH, PlacementAnswer, PlacementFault, PlacementQuestion,
};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::AdminError;

/// Size limit of a response body. The answer about 600 servers takes less than 1 MiB.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Client of the status addresses of VMs. It tries them in the given order until one responds. A
/// status address needs no credential, so none is sent there.
#[derive(Debug, Clone)]
pub struct StatusClient {
    servers: Vec<SocketAddr>,
    timeout: Duration,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl StatusClient {
    /// Creates a client for the VMs at `servers`; `timeout` applies to each VM.
    pub fn new(servers: Vec<SocketAddr>, timeout: Duration) -> StatusClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        let client =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(connector);
        StatusClient { servers, timeout, client }
    }

    /// Asks where a request would go. Returns the answer or the failure of the first VM that
    /// responds.
    ///
    /// # Errors
    ///
    /// Returns an [`AdminError`] if no VM returned a valid response.
    pub async fn placement(
        &self,
        question: &PlacementQuestion,
    ) -> Result<Result<PlacementAnswer, PlacementFault>, AdminError> {
        let query = serde_urlencoded::to_string(question)
            .map_err(|error| AdminError::NotSent(error.to_string()))?;
        let mut failures = Vec::new();
        for server in &self.servers {
            let exchange = self.exchange(*server, &query);
            match tokio::time::timeout(self.timeout, exchange).await {
                Ok(Ok((status, body))) => return parse_response(*server, status, &body),
                Ok(Err(reason)) => failures.push(format!("{server} ({reason})")),
                Err(_) => failures.push(format!("{server} (timeout)")),
            }
        }
        // A question has no effect, so it does not matter whether it was received.
        Err(AdminError::NotSent(failures.join(", ")))
    }

    async fn exchange(
        &self,
        server: SocketAddr,
        query: &str,
    ) -> Result<(StatusCode, Bytes), &'static str> {
        let request = Request::get(format!("http://{server}{PLACEMENT_PATH}?{query}"))
            .body(Empty::new())
            .map_err(|_| "the question does not make a valid URL")?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { "no connection" } else { "the connection was lost" }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|_| "the response was cut off")?;
        Ok((status, body.to_bytes()))
    }
}

fn parse_response(
    server: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<Result<PlacementAnswer, PlacementFault>, AdminError> {
    if let Ok(fault) = serde_json::from_slice::<PlacementFault>(body) {
        return Ok(Err(fault));
    }
    serde_json::from_slice(body).map(Ok).map_err(|error| {
        AdminError::InvalidResponse(server.to_string(), format!("status {status}, {error}"))
    })
}
