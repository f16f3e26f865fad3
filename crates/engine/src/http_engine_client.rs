//! Client of one engine over HTTP.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dragonflycart_core::OrderFence;
use eventsource_stream::{EventStreamError, Eventsource};
use futures::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::{Method, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use crate::{
    BoxFuture, CacheEvent, CallFailure, EngineClient, EngineError, EngineOrder, GenerationRequest,
    LoadReport, OrderOutcome, StreamEvent, TokenStream,
    event_check::EventCheck,
    event_limit::{EventLimit, EventSourceError},
    http_exchange::{ConnectionReuse, HttpExchange, OutgoingRequest, read_whole, stated_instance},
    protocol::{CACHE_EVENTS_PATH, GENERATIONS_PATH, LOAD_PATH, ORDERS_PATH, encode_segment},
};

/// Longest wait for a TCP connection; the farthest zone is a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a response head or a short answer. Engines answer a start before the first
/// token, so this equals the time after which a stream without events counts as unresponsive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Body of an order.
#[derive(Serialize)]
struct OrderBody {
    #[serde(flatten)]
    order: EngineOrder,
    fence: OrderFence,
}

#[derive(Deserialize)]
struct OrderAnswer {
    outcome: OrderOutcome,
}

#[derive(Deserialize)]
struct CacheAnswer {
    events: Vec<CacheEvent>,
}

/// Reason stated by an engine that refuses a request.
#[derive(Deserialize)]
struct RefusalAnswer {
    message: String,
}

/// Engine reached over HTTP.
pub struct HttpEngineClient {
    streams: HttpExchange,
    polls: HttpExchange,
}

impl HttpEngineClient {
    /// Builds a client for the engine at `address`.
    pub fn new(address: SocketAddr) -> HttpEngineClient {
        HttpEngineClient {
            streams: HttpExchange::new(address, CONNECT_TIMEOUT, ConnectionReuse::Never),
            polls: HttpExchange::new(address, CONNECT_TIMEOUT, ConnectionReuse::Idle),
        }
    }

    async fn open_stream(
        &self,
        outgoing: OutgoingRequest,
        check: EventCheck,
    ) -> Result<TokenStream, EngineError> {
        let request_id = self.streams.draw_request_id();
        let response = self.streams.open(outgoing, &request_id, ANSWER_TIMEOUT).await;
        let response = response.map_err(engine_error)?;
        if response.status() != StatusCode::OK {
            return Err(read_refusal(response).await);
        }
        let instance = stated_instance(response.headers());
        Ok(TokenStream::new(instance, read_events(response.into_body(), check)))
    }

    async fn start_generation(
        &self,
        request: GenerationRequest,
    ) -> Result<TokenStream, EngineError> {
        let body = encode_body(&request)?;
        let outgoing = OutgoingRequest::new(Method::POST, GENERATIONS_PATH.to_owned(), body);
        let first_index = request.forced_prefix.len() as u64;
        let check = EventCheck::new(request.generation, Some(request.epoch), first_index);
        self.open_stream(outgoing, check).await
    }

    async fn resume_generation(
        &self,
        generation: &str,
        next_index: u64,
    ) -> Result<TokenStream, EngineError> {
        let path = format!("{}/events?from={next_index}", generation_path(generation));
        let outgoing = OutgoingRequest::new(Method::GET, path, Bytes::new());
        let check = EventCheck::new(generation.to_owned(), None, next_index);
        self.open_stream(outgoing, check).await
    }

    async fn cancel_generation(&self, generation: &str) -> Result<(), EngineError> {
        let path = generation_path(generation);
        let outgoing = OutgoingRequest::new(Method::DELETE, path, Bytes::new());
        match self.send_short(&self.streams, outgoing).await {
            Ok(_) | Err(EngineError::UnknownGeneration) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn read_report(&self) -> Result<LoadReport, EngineError> {
        let outgoing = OutgoingRequest::new(Method::GET, LOAD_PATH.to_owned(), Bytes::new());
        let body = self.send_short(&self.polls, outgoing).await?;
        serde_json::from_slice(&body).map_err(|_| EngineError::Protocol)
    }

    async fn read_cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, EngineError> {
        let path = format!("{CACHE_EVENTS_PATH}?after={after}");
        let outgoing = OutgoingRequest::new(Method::GET, path, Bytes::new());
        let body = match self.send_short(&self.polls, outgoing).await {
            // Engines without a prefix cache do not serve this path.
            Err(EngineError::UnknownGeneration) => return Ok(Vec::new()),
            other => other?,
        };
        let answer: CacheAnswer =
            serde_json::from_slice(&body).map_err(|_| EngineError::Protocol)?;
        Ok(answer.events)
    }

    async fn send_order(
        &self,
        order: EngineOrder,
        fence: OrderFence,
    ) -> Result<OrderOutcome, EngineError> {
        let body = encode_body(&OrderBody { order, fence })?;
        let outgoing = OutgoingRequest::new(Method::POST, ORDERS_PATH.to_owned(), body);
        let body = self.send_short(&self.streams, outgoing).await?;
        let answer: OrderAnswer =
            serde_json::from_slice(&body).map_err(|_| EngineError::Protocol)?;
        Ok(answer.outcome)
    }

    async fn send_short(
        &self,
        exchange: &HttpExchange,
        outgoing: OutgoingRequest,
    ) -> Result<Bytes, EngineError> {
        let request_id = exchange.draw_request_id();
        let answer = exchange.exchange(outgoing, &request_id, ANSWER_TIMEOUT).await;
        let response = answer.map_err(engine_error)?;
        if response.status().is_success() {
            return Ok(response.into_body());
        }
        Err(refusal_error(&response))
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

    fn cancel(&self, generation: &str) -> BoxFuture<'_, Result<(), EngineError>> {
        let generation = generation.to_owned();
        Box::pin(async move { self.cancel_generation(&generation).await })
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

async fn read_refusal(response: Response<Incoming>) -> EngineError {
    match tokio::time::timeout(ANSWER_TIMEOUT, read_whole(response)).await {
        Ok(Ok(response)) => refusal_error(&response),
        Ok(Err(_)) | Err(_) => EngineError::ConnectionLost,
    }
}

fn refusal_error(response: &Response<Bytes>) -> EngineError {
    if response.status() == StatusCode::NOT_FOUND {
        return EngineError::UnknownGeneration;
    }
    let message = match serde_json::from_slice::<RefusalAnswer>(response.body()) {
        Ok(refusal) => refusal.message,
        Err(_) => format!("status {}", response.status().as_u16()),
    };
    if response.status().is_server_error() && response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return EngineError::Failed(message);
    }
    EngineError::Refused(message)
}

/// Turns the body of a response into checked events. The item after which the stream ends drops
/// the body, which closes the connection.
fn read_events(
    body: Incoming,
    check: EventCheck,
) -> impl Stream<Item = Result<StreamEvent, EngineError>> + Send + 'static {
    let mut limit = EventLimit::default();
    let chunks = body.into_data_stream().map(move |chunk| limit.check_chunk(chunk));
    let source = Box::pin(chunks.eventsource());
    futures::stream::unfold(Some((source, check)), |state| async move {
        let (mut source, mut check) = state?;
        let item = match source.next().await {
            Some(Ok(message)) => check.parse_event(&message.data),
            Some(Err(EventStreamError::Transport(EventSourceError::Transport))) | None => {
                Err(EngineError::ConnectionLost)
            }
            Some(Err(_)) => Err(EngineError::Protocol),
        };
        let last =
            matches!(item, Err(_) | Ok(StreamEvent::Finished { .. } | StreamEvent::Failed { .. }));
        let next = if last { None } else { Some((source, check)) };
        Some((item, next))
    })
}
