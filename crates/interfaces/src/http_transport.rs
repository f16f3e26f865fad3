//! HTTP exchange with the platform, with a bound on the time to answer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Longest wait for a TCP connection to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How far a failed exchange got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The request may have been received.
    MaybeSent,
}

/// HTTP client bound to one address of the platform.
pub(crate) struct HttpTransport {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpTransport {
    pub(crate) fn new(address: SocketAddr) -> HttpTransport {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // A repeated append could be written twice; the caller decides about another attempt.
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        HttpTransport { address, client }
    }

    /// Sends one request and reads the whole answer within `timeout`.
    pub(crate) async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let uri = format!("http://{}{path}", self.address);
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|_| ExchangeError::NotSent)?;
        let answer = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() { ExchangeError::NotSent } else { ExchangeError::MaybeSent }
            })?;
            let status = response.status();
            let body =
                response.into_body().collect().await.map_err(|_| ExchangeError::MaybeSent)?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(timeout, answer).await {
            Ok(result) => result,
            Err(_) => Err(ExchangeError::MaybeSent),
        }
    }
}
