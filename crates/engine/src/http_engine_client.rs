//! HTTP client of an engine.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_core::OrderFence;
use eventsource_stream::{EventStreamError, Eventsource};
use futures::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::{Method, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use crate::{
    BoxFuture, CacheEvent, CallFailure, CancelOutcome, EngineClient, EngineError, EngineOrder,
    GenerationRequest, LoadReport, OrderOutcome, StreamEvent, TokenStream,
    engine_contact::EngineContact,
    event_size_limit::{EventSizeLimit, EventSourceError},
    event_validator::EventValidator,
    http_client::{
        ConnectionReuse, HttpClient, OutgoingRequest, collect_response, server_instance,
    },
    protocol::{CACHE_EVENTS_PATH, GENERATIONS_PATH, LOAD_PATH, ORDERS_PATH, encode_segment},
};

/// Timeout for a TCP connection; the farthest zone is a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a response head or a short response. Engines send the head of a generation before
/// its first token, so this equals the time after which a stream without events counts as
/// unresponsive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Body of the request that sends an order.
#[derive(Serialize)]
struct OrderBody {
    #[serde(flatten)]
    order: EngineOrder,
    fence: OrderFence,
}

#[derive(Deserialize)]
struct OrderResponse {
    outcome: OrderOutcome,
}

#[derive(Deserialize)]
struct CacheEventsResponse {
    events: Vec<CacheEvent>,
}

/// Body of an error response.
#[derive(Deserialize)]
struct ErrorResponse {
    message: String,
}

/// HTTP client of an engine.
pub struct HttpEngineClient {
    /// Client for generations and orders. Not all of these requests are safe to repeat.
    request_client: HttpClient,
    /// Client for load reports and cache events.
    poll_client: HttpClient,
    contact: Arc<EngineContact>,
}

impl HttpEngineClient {
    /// Builds a client for the engine at `address`.
    pub fn new(address: SocketAddr) -> HttpEngineClient {
        let contact = Arc::default();
        let client = |reuse| HttpClient::new(address, CONNECT_TIMEOUT, reuse, &contact);
        let (request_client, poll_client) =
            (client(ConnectionReuse::Never), client(ConnectionReuse::Idle));
        HttpEngineClient { request_client, poll_client, contact }
    }

    async fn open_stream(
        &self,
        outgoing: OutgoingRequest,
        validator: EventValidator,
    ) -> Result<TokenStream, EngineError> {
        let request_id = self.request_client.next_request_id();
        let response =
            self.request_client.send_streaming(outgoing, &request_id, RESPONSE_TIMEOUT).await;
        let response = response.map_err(engine_error)?;
        if response.status() != StatusCode::OK {
            return Err(read_error_response(response).await);
        }
        let instance = server_instance(response.headers());
        let events = read_events(response.into_body(), validator, Arc::clone(&self.contact));
        Ok(TokenStream::new(instance, events))
    }

    async fn start_generation(
        &self,
        request: GenerationRequest,
    ) -> Result<TokenStream, EngineError> {
        let body = encode_body(&request)?;
        let outgoing = OutgoingRequest::new(Method::POST, GENERATIONS_PATH.to_owned(), body);
        let first_index = request.forced_prefix.len() as u64;
        let validator = EventValidator::new(request.generation, Some(request.epoch), first_index);
        self.open_stream(outgoing, validator).await
    }

    async fn resume_generation(
        &self,
        generation: &str,
        next_index: u64,
    ) -> Result<TokenStream, EngineError> {
        let path = format!("{}/events?from={next_index}", generation_path(generation));
        let outgoing = OutgoingRequest::new(Method::GET, path, Bytes::new());
        let validator = EventValidator::new(generation.to_owned(), None, next_index);
        self.open_stream(outgoing, validator).await
    }

    async fn cancel_generation(&self, generation: &str) -> Result<CancelOutcome, EngineError> {
        let path = generation_path(generation);
        let outgoing = OutgoingRequest::new(Method::DELETE, path, Bytes::new());
        match self.send_request(&self.request_client, outgoing).await {
            Ok(_) => Ok(CancelOutcome::Cancelled),
            Err(EngineError::UnknownGeneration) => Ok(CancelOutcome::Unknown),
            Err(error) => Err(error),
        }
    }

    async fn read_report(&self) -> Result<LoadReport, EngineError> {
        let outgoing = OutgoingRequest::new(Method::GET, LOAD_PATH.to_owned(), Bytes::new());
        let body = self.send_request(&self.poll_client, outgoing).await?;
        serde_json::from_slice(&body).map_err(|_| EngineError::Protocol)
    }

    async fn read_cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, EngineError> {
        let path = format!("{CACHE_EVENTS_PATH}?after={after}");
        let outgoing = OutgoingRequest::new(Method::GET, path, Bytes::new());
        let body = match self.send_request(&self.poll_client, outgoing).await {
            // Engines without a prefix cache do not serve this path.
            Err(EngineError::UnknownGeneration) => return Ok(Vec::new()),
            other => other?,
        };
        let response: CacheEventsResponse =
            serde_json::from_slice(&body).map_err(|_| EngineError::Protocol)?;
        Ok(response.events)
    }

    async fn send_order(
        &self,
        order: EngineOrder,
        fence: OrderFence,
    ) -> Result<OrderOutcome, EngineError> {
        let body = encode_body(&OrderBody { order, fence })?;
        let outgoing = OutgoingRequest::new(Method::POST, ORDERS_PATH.to_owned(), body);
        let body = self.send_request(&self.request_client, outgoing).await?;
        let response: OrderResponse =
            serde_json::from_slice(&body).map_err(|_| EngineError::Protocol)?;
        Ok(response.outcome)
    }

    async fn send_request(
        &self,
        client: &HttpClient,
        outgoing: OutgoingRequest,
    ) -> Result<Bytes, EngineError> {
        let request_id = client.next_request_id();
        let response = client.send(outgoing, &request_id, RESPONSE_TIMEOUT).await;
        let response = response.map_err(engine_error)?;
        if response.status().is_success() {
            return Ok(response.into_body());
        }
        Err(response_error(&response))
    }
}

impl EngineClient for HttpEngineClient {
    fn start(&self, request: GenerationRequest) -> BoxFuture<'_, Result<TokenStream, EngineError>> {
        Box::pin(self.start_generation(request))
    }

    fn resume(
        &self,
        generation: &str,
        next_index: u64,
    ) -> BoxFuture<'_, Result<TokenStream, EngineError>> {
        let generation = generation.to_owned();
        Box::pin(async move { self.resume_generation(&generation, next_index).await })
    }

    fn cancel(&self, generation: &str) -> BoxFuture<'_, Result<CancelOutcome, EngineError>> {
        let generation = generation.to_owned();
        Box::pin(async move { self.cancel_generation(&generation).await })
    }

    fn is_heard(&self, time: Duration) -> bool {
        self.contact.is_heard(time)
    }

    fn report(&self) -> BoxFuture<'_, Result<LoadReport, EngineError>> {
        Box::pin(self.read_report())
    }

    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, EngineError>> {
        Box::pin(self.read_cache_events(after))
    }

    fn order(
        &self,
        order: EngineOrder,
        fence: OrderFence,
    ) -> BoxFuture<'_, Result<OrderOutcome, EngineError>> {
        Box::pin(self.send_order(order, fence))
    }
}

fn generation_path(generation: &str) -> String {
    format!("{GENERATIONS_PATH}/{}", encode_segment(generation))
}

fn encode_body(body: &impl Serialize) -> Result<Bytes, EngineError> {
    serde_json::to_vec(body).map(Bytes::from).map_err(|_| EngineError::Protocol)
}

fn engine_error(failure: CallFailure) -> EngineError {
    match failure {
        CallFailure::NotSent => EngineError::NotSent,
        CallFailure::MaybeSent => EngineError::ConnectionLost,
        CallFailure::MismatchedResponse => EngineError::Protocol,
    }
}

async fn read_error_response(response: Response<Incoming>) -> EngineError {
    match tokio::time::timeout(RESPONSE_TIMEOUT, collect_response(response)).await {
        Ok(Ok(response)) => response_error(&response),
        Ok(Err(_)) | Err(_) => EngineError::ConnectionLost,
    }
}

fn response_error(response: &Response<Bytes>) -> EngineError {
    if response.status() == StatusCode::NOT_FOUND {
        return EngineError::UnknownGeneration;
    }
    let message = match serde_json::from_slice::<ErrorResponse>(response.body()) {
        Ok(error) => error.message,
        Err(_) => format!("status {}", response.status().as_u16()),
    };
    if response.status().is_server_error() && response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return EngineError::Failed(message);
    }
    EngineError::Refused(message)
}

/// Returns the validated events of a response body. The stream drops the body with its last item,
/// which closes the connection.
fn read_events(
    body: Incoming,
    validator: EventValidator,
    contact: Arc<EngineContact>,
) -> impl Stream<Item = Result<StreamEvent, EngineError>> + Send + 'static {
    let mut limit = EventSizeLimit::default();
    let chunks = body.into_data_stream().map(move |chunk| {
        if chunk.is_ok() {
            contact.note_bytes();
        }
        limit.check_chunk(chunk)
    });
    let source = Box::pin(chunks.eventsource());
    futures::stream::unfold(Some((source, validator)), |state| async move {
        let (mut source, mut validator) = state?;
        let item = match source.next().await {
            Some(Ok(message)) => validator.parse_event(&message.data),
            Some(Err(EventStreamError::Transport(EventSourceError::Transport))) | None => {
                Err(EngineError::ConnectionLost)
            }
            Some(Err(_)) => Err(EngineError::Protocol),
        };
        let is_last =
            matches!(item, Err(_) | Ok(StreamEvent::Finished { .. } | StreamEvent::Failed { .. }));
        let next = if is_last { None } else { Some((source, validator)) };
        Some((item, next))
    })
}
