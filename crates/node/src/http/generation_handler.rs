//! Handlers of generations.

use std::sync::Arc;

use axum::{
    Json,
    body::Body,
    extract::{Path, Query, State},
    http::{HeaderMap, HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use dragonflycart_core::{
    ErrorKind, GenerationId, ModelName, RequestKey, ServerName, ServiceError,
};
use serde::Deserialize;
use serde_json::json;

use crate::{
    control::GenerationAsk,
    generation::{
        BufferReader, GenerationBuffer, GenerationEnd, GenerationRunner, GenerationSpec,
        StreamResumer,
    },
    http::{
        CallerContext, CompletionRequest, ErrorResponse, HttpFront, caller_context::parsed,
        event_body,
    },
};

/// Header that names the generation.
const GENERATION_HEADER: &str = "x-generation-id";
/// Server part of an id until the generation is placed.
const UNPLACED: &str = "unplaced";

#[derive(Deserialize)]
pub(crate) struct ResumeQuery {
    from: Option<u64>,
}

/// Starts a generation, or joins the one with the same key.
pub(crate) async fn post_completion(
    State(front): State<HttpFront>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, ErrorResponse> {
    let result = start_completion(&front, &headers, body).await;
    result.map_err(|error| front.error(error))
}

async fn start_completion(
    front: &HttpFront,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &front.config)?;
    let body = front.read_body(body).await?;
    let request = CompletionRequest::parse(&body, front.config.limits.prompt)?;
    check_model(front, &request.model, &caller)?;
    let id = GenerationId::generate(unplaced()?);
    let spec = generation_spec(front, &caller, &request, &id)?;
    let buffer = Arc::new(GenerationBuffer::new(id.clone(), 0));
    // The caller counts as a reader while its generation waits for a placement.
    let _reader = BufferReader::new(Arc::clone(&buffer));
    let buffer = match front.store.insert(&id, &caller.team, caller.key.as_ref(), &buffer) {
        Some(existing) => existing,
        None => {
            if let Err(error) = launch(front, spec, &buffer).await {
                front.store.remove(&id);
                return Err(error);
            }
            buffer
        }
    };
    if request.stream {
        return Ok(stream_response(front, buffer, Some(request.model), 0));
    }
    whole_response(&buffer, &request.model).await
}

fn unplaced() -> Result<ServerName, ServiceError> {
    ServerName::new(UNPLACED)
        .map_err(|error| ServiceError::new(ErrorKind::Internal, error.to_string()))
}

/// Checks that the settings have the model and its route.
///
/// # Errors
///
/// [`ErrorKind::NotFound`] or [`ErrorKind::BadRequest`].
pub(crate) fn check_model(
    front: &HttpFront,
    model: &ModelName,
    caller: &CallerContext,
) -> Result<(), ServiceError> {
    let Some(settings) = front.config.models.get(model) else {
        return Err(ServiceError::new(ErrorKind::NotFound, format!("model: {model} is unknown")));
    };
    if settings.routes.is_empty() || settings.routes.contains(&caller.route) {
        return Ok(());
    }
    let allowed: Vec<&str> = settings.routes.iter().map(|route| route.as_str()).collect();
    let message =
        format!("x-route: {} is unknown; model {model} has {}", caller.route, allowed.join(", "));
    Err(ServiceError::new(ErrorKind::BadRequest, message))
}

fn generation_spec(
    front: &HttpFront,
    caller: &CallerContext,
    request: &CompletionRequest,
    id: &GenerationId,
) -> Result<GenerationSpec, ServiceError> {
    let unique = format!("{:032x}", id.unique());
    let key = match &caller.key {
        Some(key) => key.clone(),
        None => RequestKey::new(&unique)
            .map_err(|error| ServiceError::new(ErrorKind::Internal, error.to_string()))?,
    };
    Ok(GenerationSpec {
        team: caller.team.clone(),
        route: caller.route.clone(),
        model: request.model.clone(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        seed: request.seed.unwrap_or(id.unique() as u64),
        key,
        deadline: front.deadline(caller.deadline, front.config.timeouts.request_deadline),
    })
}

/// Submits a generation to the placement and starts its runner.
///
/// # Errors
///
/// An error if the VM takes no work, has too many open streams, or knows no version of the model.
pub(crate) async fn launch(
    front: &HttpFront,
    spec: GenerationSpec,
    buffer: &Arc<GenerationBuffer>,
) -> Result<(), ServiceError> {
    front.check_phase()?;
    let limit = front.config.limits.open_streams;
    if front.store.open_count() > limit {
        let message = format!("this VM has {limit} open streams, its limit");
        return Err(ServiceError::new(ErrorKind::Overloaded, message));
    }
    let placed = front.runner.control.place_generation(GenerationAsk::of(&spec)).await?;
    front.runner.metrics.generations.inc();
    let runner = GenerationRunner::new(front.runner.clone(), Arc::clone(buffer), spec, placed);
    tokio::spawn(runner.run());
    Ok(())
}

/// Answers with the rest of a generation, from this VM's memory or from the engine.
pub(crate) async fn get_generation(
    State(front): State<HttpFront>,
    Path(id): Path<String>,
    Query(query): Query<ResumeQuery>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let result = resume_generation(&front, &id, query, &headers).await;
    result.map_err(|error| front.error(error))
}

async fn resume_generation(
    front: &HttpFront,
    id: &str,
    query: ResumeQuery,
    headers: &HeaderMap,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &front.config)?;
    let last_event: Option<String> = parsed(headers, "last-event-id")?;
    let (id, next) = resume_position(id, query, last_event.as_deref())?;
    if let Some(buffer) = front.store.find(&id, &caller.team)
        && buffer.base() <= next
    {
        return Ok(stream_response(front, buffer, None, next));
    }
    if last_event.is_none() && next > 0 {
        // Only an event id tells which engine generated the token before; the path may name an
        // engine that the generation has left, whose tokens would not fit.
        let message = "last-event-id: required to continue in the middle at another VM";
        return Err(ServiceError::new(ErrorKind::BadRequest, message));
    }
    let resumer = StreamResumer::new(front.runner.clone());
    let buffer = resumer.resume(&id, next).await?;
    Ok(stream_response(front, buffer, None, next))
}

/// Returns the generation and the index of the next token. The last event id names the current
/// location of the generation and therefore wins over the path.
fn resume_position(
    id: &str,
    query: ResumeQuery,
    last_event: Option<&str>,
) -> Result<(GenerationId, u64), ServiceError> {
    let bad = |message: String| ServiceError::new(ErrorKind::BadRequest, message);
    let path_id: GenerationId = id.parse().map_err(|error| bad(format!("id: {error}")))?;
    let Some(event) = last_event else {
        return Ok((path_id, query.from.unwrap_or(0)));
    };
    let parts = event.rsplit_once(':').and_then(|(event_id, index)| {
        Some((event_id.parse::<GenerationId>().ok()?, index.parse::<u64>().ok()?))
    });
    let Some((event_id, index)) = parts else {
        return Err(bad("last-event-id: expected \"<generation>:<index>\"".to_owned()));
    };
    if event_id.unique() != path_id.unique() {
        return Err(bad("last-event-id: names another generation than the path".to_owned()));
    }
    Ok((event_id, query.from.unwrap_or(index + 1)))
}

fn stream_response(
    front: &HttpFront,
    buffer: Arc<GenerationBuffer>,
    model: Option<ModelName>,
    next: u64,
) -> Response {
    let id = buffer.location().to_string();
    let body = event_body(buffer, model, next, front.handover.clone());
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(value) = HeaderValue::from_str(&id) {
        headers.insert(GENERATION_HEADER, value);
    }
    response
}

/// Waits for the end of a generation and answers with the whole text.
async fn whole_response(
    buffer: &Arc<GenerationBuffer>,
    model: &ModelName,
) -> Result<Response, ServiceError> {
    let reader = BufferReader::new(Arc::clone(buffer));
    let buffer = reader.buffer();
    let mut changes = buffer.subscribe();
    let reason = loop {
        changes.borrow_and_update();
        match buffer.end() {
            Some(GenerationEnd::Finished { reason }) => break reason,
            Some(GenerationEnd::Failed(error)) => return Err(error),
            None => {}
        }
        if changes.changed().await.is_err() {
            return Err(ServiceError::new(ErrorKind::Internal, "the generation was abandoned"));
        }
    };
    let id = buffer.location().to_string();
    let body = json!({
        "id": id,
        "object": "text_completion",
        "model": model,
        "choices": [{ "index": 0, "text": buffer.whole_text(), "finish_reason": reason }],
        "usage": { "completion_tokens": buffer.next_index() },
    });
    let mut response = (StatusCode::OK, Json(body)).into_response();
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(GENERATION_HEADER, value);
    }
    Ok(response)
}
