//! One HTTP exchange with a backend server, with a statement on how far it got.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bytes::Bytes;
use dragonflycart_core::{Incarnation, ServerInstance};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response,
    body::{Body, Incoming},
    header::{CONTENT_TYPE, HeaderMap, HeaderValue, TRANSFER_ENCODING},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::{
    CallFailure,
    protocol::{INSTANCE_HEADER, REQUEST_ID_HEADER},
};

/// Idle connections are kept for two polling intervals of the load report, so that a connection
/// which became unresponsive while idle is rarely picked.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest accepted whole answer. It bounds the memory that one backend server can claim.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Whether an exchange may use a connection that served an earlier exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// Every exchange opens its own connection. A server that closes an idle connection at the
    /// moment of reuse would turn a harmless race into an unknown outcome.
    Never,
    /// Idle connections are reused; only for exchanges that can be repeated without harm.
    Idle,
}

/// One request: what is sent apart from the request id.
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
}

impl OutgoingRequest {
    /// Builds a request without further headers.
    pub(crate) fn new(method: Method, path: String, body: Bytes) -> OutgoingRequest {
        OutgoingRequest { method, path, headers: Vec::new(), body }
    }
}

/// HTTP client bound to one backend server.
pub(crate) struct HttpExchange {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    id_prefix: Incarnation,
    next_id: AtomicU64,
}

impl HttpExchange {
    /// Builds a client for the server at `address`.
    pub(crate) fn new(
        address: SocketAddr,
        connect_timeout: Duration,
        reuse: ConnectionReuse,
    ) -> HttpExchange {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let idle_limit = match reuse {
            ConnectionReuse::Never => 0,
            ConnectionReuse::Idle => 2,
        };
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_limit)
            .retry_canceled_requests(false)
            .build(connector);
        HttpExchange {
            address,
            client,
            id_prefix: Incarnation::generate(),
            next_id: AtomicU64::new(0),
        }
    }

    /// Draws a request id that no other exchange uses.
    pub(crate) fn draw_request_id(&self) -> String {
        format!("{}-{}", self.id_prefix, self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends one request and returns the response once its head is there and carries the same
    /// request id.
    pub(crate) async fn open(
        &self,
        outgoing: OutgoingRequest,
        request_id: &str,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallFailure> {
        let request = self.build_request(outgoing, request_id).ok_or(CallFailure::NotSent)?;
        let answer = tokio::time::timeout(timeout, self.client.request(request)).await;
        let response = match answer {
            Ok(Ok(response)) => response,
            // A connect error precedes the first byte. Every other error may follow one.
            Ok(Err(error)) if error.is_connect() => return Err(CallFailure::NotSent),
            Ok(Err(_)) | Err(_) => return Err(CallFailure::MaybeSent),
        };
        if header_text(response.headers(), REQUEST_ID_HEADER) != Some(request_id) {
            return Err(CallFailure::MismatchedResponse);
        }
        Ok(response)
    }

    /// Sends one request and reads the whole answer.
    pub(crate) async fn exchange(
        &self,
        outgoing: OutgoingRequest,
        request_id: &str,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallFailure> {
        let answer = async {
            let response = self.open(outgoing, request_id, timeout).await?;
            read_whole(response).await
        };
        tokio::time::timeout(timeout, answer).await.unwrap_or(Err(CallFailure::MaybeSent))
    }

    /// Returns `None` for a header or path that HTTP can't carry.
    fn build_request(
        &self,
        outgoing: OutgoingRequest,
        request_id: &str,
    ) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(outgoing.method)
            .uri(format!("http://{}{}", self.address, outgoing.path))
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
            .header(REQUEST_ID_HEADER, request_id);
        for (name, value) in outgoing.headers {
            builder = builder.header(name, value);
        }
        builder.body(Full::new(outgoing.body)).ok()
    }
}

/// Reads the whole body of `response`.
pub(crate) async fn read_whole(
    response: Response<Incoming>,
) -> Result<Response<Bytes>, CallFailure> {
    // A body that ends with the connection can't be told from a truncated one.
    let delimited = response.body().size_hint().exact().is_some()
        || response.headers().contains_key(TRANSFER_ENCODING);
    if !delimited {
        return Err(CallFailure::MaybeSent);
    }
    let (head, body) = response.into_parts();
    let body = Limited::new(body, ANSWER_LIMIT_BYTES).collect().await;
    let body = body.map_err(|_| CallFailure::MaybeSent)?.to_bytes();
    Ok(Response::from_parts(head, body))
}

/// Returns the value of a header as text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the server instance that a response states.
pub(crate) fn stated_instance(headers: &HeaderMap) -> Option<ServerInstance> {
    header_text(headers, INSTANCE_HEADER)?.parse().ok().map(ServerInstance)
}
