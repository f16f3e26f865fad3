//! Handlers for generations.

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
    containment::CrashWatch,
    control::GenerationPlacementRequest,
    generation::{
        GenerationBuffer, GenerationEnd, GenerationRunner, GenerationSpec, ReaderGuard,
        StreamResumer,
    },
    http::{
        CallerApi, CallerContext, CompletionRequest, ErrorResponse, caller_context::parse_header,
        event_body,
    },
};

/// Response header with the id of the generation.
const GENERATION_HEADER: &str = "x-generation-id";
/// Server part of the id until the generation is placed on a server.
const UNPLACED: &str = "unplaced";

#[derive(Deserialize)]
pub(crate) struct ResumeQuery {
    from: Option<u64>,
}

/// Starts a generation, or reads the existing one with the same key.
pub(crate) async fn post_completion(
    State(api): State<CallerApi>,
    headers: HeaderMap,
    body: Body,
) -> Result<Response, ErrorResponse> {
    let result = start_completion(&api, &headers, body).await;
    result.map_err(|error| api.error_response(error))
}

async fn start_completion(
    api: &CallerApi,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &api.config)?;
    let body = api.read_body(body).await?;
    let request = CompletionRequest::parse(&body, api.config.limits.prompt)?;
    check_model(api, &request.model, &caller)?;
    let id = GenerationId::generate(unplaced()?);
    let spec = generation_spec(api, &caller, &request, &id)?;
    let buffer = Arc::new(GenerationBuffer::new(id.clone(), 0));
    // The caller counts as a reader while its generation waits to be placed.
    let _reader = ReaderGuard::new(Arc::clone(&buffer));
    let buffer = match api.store.insert(&id, &caller.team, caller.key.as_ref(), &buffer) {
        Some(existing) => existing,
        None => {
            if let Err(error) = launch(api, spec, &buffer).await {
                api.store.remove(&id);
                return Err(error);
            }
            buffer
        }
    };
    if request.stream {
        return Ok(stream_response(api, buffer, Some(request.model), 0));
    }
    whole_response(&buffer, &request.model).await
}

fn unplaced() -> Result<ServerName, ServiceError> {
    ServerName::new(UNPLACED)
        .map_err(|error| ServiceError::new(ErrorKind::Internal, error.to_string()))
}

/// Checks that the model is configured and accepts the caller's route.
///
/// # Errors
///
/// [`ErrorKind::NotFound`] or [`ErrorKind::BadRequest`].
pub(crate) fn check_model(
    api: &CallerApi,
    model: &ModelName,
    caller: &CallerContext,
) -> Result<(), ServiceError> {
    let Some(settings) = api.config.models.get(model) else {
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
    api: &CallerApi,
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
        deadline: api.deadline(caller.deadline, api.config.timeouts.request_deadline),
    })
}

/// Submits a generation to the placement and starts its runner.
///
/// # Errors
///
/// An error if the VM accepts no work, has too many open streams, or has no version of the model.
pub(crate) async fn launch(
    api: &CallerApi,
    spec: GenerationSpec,
    buffer: &Arc<GenerationBuffer>,
) -> Result<(), ServiceError> {
    api.check_phase()?;
    let limit = api.config.limits.open_streams;
    if api.store.open_count() > limit {
        let message = format!("this VM has {limit} open streams, its limit");
        return Err(ServiceError::new(ErrorKind::Overloaded, message));
    }
    let parts = CrashWatch::parts_of(&spec.prompt);
    api.runner.crashes.check(&format!("{:032x}", buffer.location().unique()), &parts)?;
    let placed = api.runner.control.place_generation(GenerationPlacementRequest::of(&spec)).await?;
    api.runner.metrics.generations.inc();
    let runner = GenerationRunner::new(api.runner.clone(), Arc::clone(buffer), spec, placed);
    tokio::spawn(runner.run());
    Ok(())
}

/// Responds with the rest of a generation, from this VM's memory or from the engine.
pub(crate) async fn get_generation(
    State(api): State<CallerApi>,
    Path(id): Path<String>,
    Query(query): Query<ResumeQuery>,
    headers: HeaderMap,
) -> Result<Response, ErrorResponse> {
    let result = resume_generation(&api, &id, query, &headers).await;
    result.map_err(|error| api.error_response(error))
}

async fn resume_generation(
    api: &CallerApi,
    id: &str,
    query: ResumeQuery,
    headers: &HeaderMap,
) -> Result<Response, ServiceError> {
    let caller = CallerContext::from_headers(headers, &api.config)?;
    let last_event: Option<String> = parse_header(headers, "last-event-id")?;
    let (id, next) = resume_position(id, query, last_event.as_deref())?;
    if let Some(buffer) = api.store.find(&id, &caller.team)
        && buffer.base() <= next
    {
        return Ok(stream_response(api, buffer, None, next));
    }
    if last_event.is_none() && next > 0 {
        // Only an event id says which engine generated the previous token. The path may name an
        // engine that the generation has since left, and its tokens would not continue the text.
        let message = "last-event-id: required to continue in the middle at another VM";
        return Err(ServiceError::new(ErrorKind::BadRequest, message));
    }
    let resumer = StreamResumer::new(api.runner.clone());
    let buffer = resumer.resume(&id, next).await?;
    api.store.add_resumed(&buffer);
    Ok(stream_response(api, buffer, None, next))
}

/// Returns the generation and the index of the next token. The last event id has the current
/// location of the generation and therefore takes precedence over the path.
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
    api: &CallerApi,
    buffer: Arc<GenerationBuffer>,
    model: Option<ModelName>,
    next: u64,
) -> Response {
    let id = buffer.location().to_string();
    let body = event_body(buffer, model, next, api.handover.clone());
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(value) = HeaderValue::from_str(&id) {
        headers.insert(GENERATION_HEADER, value);
    }
    response
}

/// Waits for the end of a generation and responds with the whole text.
async fn whole_response(
    buffer: &Arc<GenerationBuffer>,
    model: &ModelName,
) -> Result<Response, ServiceError> {
    let reader = ReaderGuard::new(Arc::clone(buffer));
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
