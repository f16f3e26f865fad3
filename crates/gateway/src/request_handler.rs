//! Validates a caller's request, buffers its body and forwards it.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use dragonflycart_core::{ErrorKind, PromptPart};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Request, Response, body::Body, body::Incoming, header};
use rand::RngExt;
use tokio::time::Instant;
use tracing::info;

use crate::{
    BodyReservation, CallForwarder, CallerCredential, CallerRequest, GatewayContext,
    GatewayFailure, HeaderNames, PlannedRoute, PlannedTeam, ResponseBody, RouteKind, RoutePlan,
    StreamForwarder, TokenDemand,
    containment::prompt_check,
    event_splitter::event_number,
    overload::{WaitingRequest, waiting_request},
    response_relay,
    revocation::key_check,
    server_attempt,
};

/// `Retry-After` time while this VM does not know the route plan yet.
const UNREADY_RETRY: Duration = Duration::from_millis(300);
/// Headers that the gateway sets or handles itself.
const OWN_HEADERS: [&str; 3] = ["authorization", "content-length", "expect"];

/// Serves one request.
pub async fn handle(
    context: &Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let attempt = header_text(request.headers(), context.names.attempt).unwrap_or("").to_owned();
    let mut response = match accept(context, request, &attempt, arrived).await {
        Ok(request) => forward(context, request).await,
        Err(failure) => {
            log_failure(context, &attempt, "refused", &failure, arrived);
            failure.response()
        }
    };
    if context.is_stopping() {
        response
            .headers_mut()
            .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    response
}

async fn forward(context: &Arc<GatewayContext>, request: CallerRequest) -> Response<ResponseBody> {
    let now = context.clock.now();
    context.view().note_request(&request.service, now);
    let (attempt, arrived) = (request.attempt.clone(), request.arrived);
    let kind = request.route.kind;
    let waiting = WaitingRequest::new(context);
    let result = if kind == RouteKind::Stream {
        StreamForwarder::new(context, request).run().await
    } else {
        CallForwarder::new(context, request).run().await
    };
    waiting.close();
    match result {
        Ok(response) => {
            if kind != RouteKind::Stream {
                let outcome = if response.status().is_success() { "answered" } else { "failed" };
                context.metrics.count_request(kind.into(), outcome, arrived.elapsed());
            }
            response
        }
        Err(failure) => {
            log_failure(context, &attempt, kind.into(), &failure, arrived);
            failure.response()
        }
    }
}

fn log_failure(
    context: &GatewayContext,
    attempt: &str,
    kind: &'static str,
    failure: &GatewayFailure,
    arrived: Instant,
) {
    context.metrics.count_request(kind, failure.cause, arrived.elapsed());
    info!(
        id = attempt,
        kind,
        error = %failure.kind,
        cause = failure.cause,
        retry_after_ms = failure.retry_after.map(|time| time.as_millis() as u64),
        after_ms = arrived.elapsed().as_millis() as u64,
        "request: failed"
    );
}

/// Validates a request against the route plan and reads its body.
async fn accept(
    context: &GatewayContext,
    request: Request<Incoming>,
    attempt: &str,
    arrived: Instant,
) -> Result<CallerRequest, GatewayFailure> {
    let plan = {
        let view = context.view();
        let plan = view.plan().filter(|_| view.is_complete()).cloned();
        plan.ok_or_else(|| {
            GatewayFailure::new(ErrorKind::NoBackend, "the plan isn't known yet")
                .with_retry_after(UNREADY_RETRY)
        })?
    };
    let (parts, body) = request.into_parts();
    let host = header_text(&parts.headers, "host").unwrap_or("");
    let route = plan
        .find_route(host, parts.uri.path())
        .ok_or_else(|| GatewayFailure::new(ErrorKind::NotFound, "no route matches"))?
        .clone();
    let presented = presented_key(&context.names, &parts.headers);
    let team = find_team(context, &plan, &route, presented)?;
    let credential = presented
        .filter(|_| team.is_some() && context.settings.revocation_time.is_some())
        .map(CallerCredential::new);
    server_attempt::check_stop(context)?;
    waiting_request::check(context)?;
    if attempt.is_empty() {
        return Err(GatewayFailure::new(ErrorKind::BadRequest, "the attempt has no identity"));
    }
    let (demand, prompt_parts) = read_demand(&context.names, &parts.headers, route.kind);
    let trial_part = prompt_check::admit(context, attempt, &prompt_parts)?;
    let stated_ms = header_text(&parts.headers, context.names.time_left)
        .and_then(|text| text.parse::<u64>().ok());
    let time_limit =
        stated_ms.map_or(route.time_limit, |ms| route.time_limit.min(Duration::from_millis(ms)));
    let deadline = arrived + time_limit;
    let has_body = !body.is_end_stream();
    let mut reservation = context.bodies.empty_reservation();
    let reading = read_body(body, plan.limits.body_bytes, &mut reservation);
    let body = tokio::select! {
        result = tokio::time::timeout_at(deadline, reading) => result.unwrap_or_else(|_| {
            Err(GatewayFailure::new(ErrorKind::DeadlineNotStarted, "the body came too slowly"))
        })?,
        () = context.last_answer_time() => return Err(server_attempt::stop_failure()),
    };
    // The rest of the body is read before the rejection: a connection that is closed with unread
    // bytes is reset, and the caller may lose the response.
    server_attempt::check_stop(context)?;
    let service = choose_service(&route);
    Ok(CallerRequest {
        attempt: attempt.to_owned(),
        admission: plan.admission_class(&route, &service),
        service,
        team_priority: team.map_or(0, |team| team.priority),
        team: team.map(|team| team.name.clone()),
        credential,
        method: parts.method,
        target: parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned(),
        last_event: header_text(&parts.headers, "last-event-id").and_then(event_number),
        headers: forwarded_headers(&context.names, &parts.headers),
        body,
        body_reservation: Arc::new(reservation),
        has_body,
        arrived,
        deadline,
        sample_seed: rand::random(),
        demand,
        prompt_parts,
        trial_part,
        route,
    })
}

/// Returns the API key that a request presents.
fn presented_key<'a>(names: &HeaderNames, headers: &'a HeaderMap) -> Option<&'a str> {
    let (scheme, key) = header_text(headers, "authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case(names.auth_scheme).then(|| key.trim())
}

/// Returns the team whose API key a request presents, or `None` if the route needs no credential.
fn find_team<'a>(
    context: &GatewayContext,
    plan: &'a RoutePlan,
    route: &PlannedRoute,
    presented: Option<&str>,
) -> Result<Option<&'a PlannedTeam>, GatewayFailure> {
    if route.is_public || !plan.has_teams() {
        return Ok(None);
    }
    key_check::check_plan(context)?;
    let team = presented.and_then(|key| plan.find_team(key));
    team.map(Some).ok_or_else(|| GatewayFailure::new(ErrorKind::Unauthorized, "the key is unknown"))
}

/// Reads a whole body, within the route plan's size limit and the memory budget for bodies.
async fn read_body(
    mut body: Incoming,
    limit: usize,
    reservation: &mut BodyReservation,
) -> Result<Bytes, GatewayFailure> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(GatewayFailure::new(ErrorKind::BadRequest, "the body broke off"));
        };
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > limit {
            return Err(GatewayFailure::new(ErrorKind::TooLarge, "the body is too large"));
        }
        if !reservation.grow(data.len()) {
            return Err(GatewayFailure::new(ErrorKind::Overloaded, "no memory for the body"));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

fn choose_service(route: &PlannedRoute) -> String {
    let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    let mut point = if total == 0 { 0 } else { rand::rng().random_range(0..total) };
    for (service, weight) in &route.services {
        if point < *weight {
            return service.clone();
        }
        point -= weight;
    }
    route.services.first().map(|(service, _)| service.clone()).unwrap_or_default()
}

/// Parses the token demand of a stream and the parts of its prompt, without the last one.
fn read_demand(
    names: &HeaderNames,
    headers: &HeaderMap,
    kind: RouteKind,
) -> (TokenDemand, Vec<PromptPart>) {
    if kind != RouteKind::Stream {
        return (TokenDemand::default(), Vec::new());
    }
    let counts: Vec<u64> = header_text(headers, names.token_counts)
        .unwrap_or("")
        .split(',')
        .filter_map(|part| part.trim().parse().ok())
        .collect();
    let [prompt_tokens, output_limit, ..] = counts[..] else {
        return (TokenDemand::default(), Vec::new());
    };
    let hint = header_text(headers, names.length_hint).and_then(|text| text.trim().parse().ok());
    let prefixes = header_text(headers, names.prompt_prefixes).unwrap_or("");
    let shared = prefixes.rsplit_once(',').map_or("", |(shared, _)| shared);
    let prompt_parts = shared
        .split(',')
        .filter_map(|part| part.split(':').next())
        .map(str::trim)
        .filter(|id| !id.is_empty())
        .map(PromptPart::from_text)
        .collect();
    (TokenDemand::estimate(prompt_tokens, output_limit, hint), prompt_parts)
}

/// Returns the headers to forward to the server.
fn forwarded_headers(names: &HeaderNames, headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_own = OWN_HEADERS.contains(&text);
        if is_own
            || names.is_set_by_system(text)
            || response_relay::is_connection_header(headers, text)
        {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
