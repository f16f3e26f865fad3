//! HTTP requests to the platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode,
    header::{CONNECTION, HeaderValue},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Timeout for a TCP connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response, in bytes. It limits the memory that a response without an end takes
/// until its timeout.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Failure of a request, by whether it may have been received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TransportError {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The request may have been received.
    MaybeSent,
}

/// HTTP client of one service of the platform. Each request has a connection of its own: responses
/// echo no ID, so on a used connection a second copy of an earlier response would be taken for the
/// response to the next request.
pub(crate) struct HttpTransport {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpTransport {
    pub(crate) fn new(address: SocketAddr) -> HttpTransport {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // A retried append could be written twice, so the caller decides whether to retry.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        HttpTransport { address, client }
    }

    /// Sends a request and reads the whole response within `timeout`.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), TransportError> {
        let uri = format!("http://{}{path}", self.address);
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(CONNECTION, HeaderValue::from_static("close"))
            .body(Full::new(body))
            .map_err(|_| TransportError::NotSent)?;
        let response = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() { TransportError::NotSent } else { TransportError::MaybeSent }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|_| TransportError::MaybeSent)?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(timeout, response).await {
            Ok(result) => result,
            Err(_) => Err(TransportError::MaybeSent),
        }
    }
}
