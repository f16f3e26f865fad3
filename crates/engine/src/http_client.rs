//! HTTP client whose errors tell whether a backend server may have received the request.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
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
    client::legacy::{
        Client,
        connect::{CaptureConnection, HttpConnector, capture_connection},
    },
    rt::{TokioExecutor, TokioTimer},
};
use log::warn;

use crate::{
    CallFailure,
    engine_contact::EngineContact,
    protocol::{INSTANCE_HEADER, REQUEST_ID_HEADER},
};

/// Time for which an idle connection is kept: two polling intervals of the load report. A longer
/// time would make it likelier to pick a connection that became unresponsive while idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest accepted body of a response that is read whole. It limits the memory that one backend
/// server can take up.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Status codes of final responses. The HTTP library takes further ones.
pub(crate) const STATUS_CODES: std::ops::Range<u16> = 200..600;

/// Whether a request may use the connection of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// Every request opens a connection. If a server closed an idle connection just as it is
    /// reused, it would be unknown whether the request was executed.
    Never,
    /// Idle connections are reused. Only for requests that are safe to repeat.
    Idle,
}

/// Request without its request id.
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
}

impl OutgoingRequest {
    /// Builds a request without additional headers.
    pub(crate) fn new(method: Method, path: String, body: Bytes) -> OutgoingRequest {
        OutgoingRequest { method, path, headers: Vec::new(), body }
    }
}

/// HTTP client of one backend server.
pub(crate) struct HttpClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    id_prefix: Incarnation,
    next_id: AtomicU64,
    contact: Arc<EngineContact>,
}

impl HttpClient {
    /// Builds a client for the server at `address`, which reports to `contact` when it hears it.
    pub(crate) fn new(
        address: SocketAddr,
        connect_timeout: Duration,
        reuse: ConnectionReuse,
        contact: &Arc<EngineContact>,
    ) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let max_idle_connections = match reuse {
            ConnectionReuse::Never => 0,
            ConnectionReuse::Idle => 2,
        };
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle_connections)
            .retry_canceled_requests(false)
            .build(connector);
        HttpClient {
            address,
            client,
            id_prefix: Incarnation::generate(),
            next_id: AtomicU64::new(0),
            contact: Arc::clone(contact),
        }
    }

    /// Returns a request id that no other request has.
    pub(crate) fn next_request_id(&self) -> String {
        format!("{}-{}", self.id_prefix, self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends a request and returns the response once its head has arrived and repeats the request
    /// id.
    pub(crate) async fn send_streaming(
        &self,
        outgoing: OutgoingRequest,
        request_id: &str,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallFailure> {
        let mut request = self.build_request(outgoing, request_id).ok_or(CallFailure::NotSent)?;
        let connection = capture_connection(&mut request);
        let result = tokio::time::timeout(timeout, self.client.request(request)).await;
        let response = match result {
            Ok(Ok(response)) => response,
            // Connect errors occur before the first byte is sent. All others may occur after it.
            Ok(Err(error)) if error.is_connect() => {
                self.contact.note_connect_error(&error);
                return Err(CallFailure::NotSent);
            }
            Ok(Err(_)) | Err(_) => return Err(CallFailure::MaybeSent),
        };
        self.contact.note_bytes();
        if !STATUS_CODES.contains(&response.status().as_u16()) {
            warn!("backend: status outside the protocol; address={}", self.address);
            return Err(CallFailure::MaybeSent);
        }
        if header_text(response.headers(), REQUEST_ID_HEADER) != Some(request_id) {
            self.retire(&connection);
            return Err(CallFailure::MismatchedResponse);
        }
        Ok(response)
    }

    /// Keeps a connection from being used again. Its next response may belong to an earlier request,
    /// too.
    fn retire(&self, connection: &CaptureConnection) {
        warn!("backend: response to another request; address={}", self.address);
        if let Some(connected) = connection.connection_metadata().as_ref() {
            connected.poison();
        }
    }

    /// Sends a request and reads the whole response.
    pub(crate) async fn send(
        &self,
        outgoing: OutgoingRequest,
        request_id: &str,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallFailure> {
        let response = async {
            let response = self.send_streaming(outgoing, request_id, timeout).await?;
            collect_response(response).await
        };
        tokio::time::timeout(timeout, response).await.unwrap_or(Err(CallFailure::MaybeSent))
    }

    /// Returns `None` if a header or the path is not valid in HTTP.
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
pub(crate) async fn collect_response(
    response: Response<Incoming>,
) -> Result<Response<Bytes>, CallFailure> {
    // A body that ends with the connection can't be told apart from a truncated one.
    let is_delimited = response.body().size_hint().exact().is_some()
        || response.headers().contains_key(TRANSFER_ENCODING);
    if !is_delimited {
        return Err(CallFailure::MaybeSent);
    }
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|_| CallFailure::MaybeSent)?.to_bytes();
    Ok(Response::from_parts(head, body))
}

/// Returns the value of a header as text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the server instance named in a response.
pub(crate) fn server_instance(headers: &HeaderMap) -> Option<ServerInstance> {
    header_text(headers, INSTANCE_HEADER)?.parse().ok().map(ServerInstance)
}
