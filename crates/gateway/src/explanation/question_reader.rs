//! Builds the request of a question.

use std::sync::Arc;

use bytes::Bytes;
use dragonflycart_core::PromptPart;
use dragonflycart_explanation::{FaultKind, PlacementFault, PlacementQuestion};
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

use crate::{
    CallerRequest, GatewayContext, PlannedRoute, PlannedTeam, RouteKind, RoutePlan, TokenDemand,
};

/// Builds the request of a question, as if it arrived now. It is sent nowhere.
///
/// # Errors
///
/// Returns the failure to report if the question is incomplete or names what the plan does not
/// have.
pub(super) fn build_request(
    context: &GatewayContext,
    plan: &RoutePlan,
    question: &PlacementQuestion,
) -> Result<CallerRequest, PlacementFault> {
    let route = find_route(plan, question)?.clone();
    let method = read_method(question)?;
    let team = find_team(plan, question)?;
    let service = find_service(&route, question)?;
    let arrived = Instant::now();
    let is_stream = route.kind == RouteKind::Stream;
    Ok(CallerRequest {
        attempt: String::new(),
        admission: plan.admission_class(&route, &service),
        service,
        team_priority: team.map_or(0, |team| team.priority),
        team: team.map(|team| team.name.clone()),
        credential: None,
        method,
        target: question.path.clone().unwrap_or_else(|| route.path_prefix.clone()),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        body_reservation: Arc::new(context.bodies.empty_reservation()),
        has_body: false,
        arrived,
        deadline: arrived + route.time_limit,
        // A number of 32 bits survives programs that read JSON numbers as floating-point numbers.
        sample_seed: question.seed.unwrap_or_else(|| u64::from(rand::random::<u32>())),
        demand: if is_stream { read_demand(question) } else { TokenDemand::default() },
        prompt_parts: question
            .shared_part
            .as_deref()
            .filter(|_| is_stream)
            .map(PromptPart::from_text)
            .into_iter()
            .collect(),
        trial_part: None,
        last_event: None,
        route,
    })
}

fn find_route<'a>(
    plan: &'a RoutePlan,
    question: &PlacementQuestion,
) -> Result<&'a PlannedRoute, PlacementFault> {
    let unknown = |text: String| PlacementFault::new(FaultKind::UnknownRoute, text);
    let bad = |text: &str| PlacementFault::new(FaultKind::BadQuestion, text);
    if let Some(name) = &question.route {
        if question.path.is_some() {
            return Err(bad("give either the name of the route or a path"));
        }
        let route = plan.route_named(name);
        return route.ok_or_else(|| unknown(format!("the plan has no route {name}")));
    }
    let Some(path) = &question.path else {
        return Err(bad("give the name of the route or a path"));
    };
    if let Some(host) = &question.host {
        let route = plan.find_route(host, path);
        return route.ok_or_else(|| unknown(format!("the plan has no route for {host}{path}")));
    }
    match plan.routes_of(path).as_slice() {
        [] => Err(unknown(format!("the plan has no route for {path}"))),
        [route] => Ok(route),
        _ => Err(bad("the path has routes on several hosts; give the host")),
    }
}

fn read_method(question: &PlacementQuestion) -> Result<Method, PlacementFault> {
    let Some(method) = &question.method else { return Ok(Method::GET) };
    Method::from_bytes(method.as_bytes())
        .map_err(|_| PlacementFault::new(FaultKind::BadQuestion, format!("{method} is no method")))
}

fn find_team<'a>(
    plan: &'a RoutePlan,
    question: &PlacementQuestion,
) -> Result<Option<&'a PlannedTeam>, PlacementFault> {
    let Some(name) = &question.team else { return Ok(None) };
    let unknown =
        || PlacementFault::new(FaultKind::UnknownTeam, format!("the plan has no team {name}"));
    plan.team_named(name).map(Some).ok_or_else(unknown)
}

/// Returns the service that the question names, or the one to which most of the route's requests
/// go.
fn find_service(
    route: &PlannedRoute,
    question: &PlacementQuestion,
) -> Result<String, PlacementFault> {
    let Some(name) = &question.service else {
        let mut best: Option<&(String, u32)> = None;
        for candidate in &route.services {
            if best.is_none_or(|(_, weight)| candidate.1 > *weight) {
                best = Some(candidate);
            }
        }
        return Ok(best.map(|(service, _)| service.clone()).unwrap_or_default());
    };
    if route.services.iter().any(|(service, _)| service == name) {
        return Ok(name.clone());
    }
    let text = format!("the route {} has no service {name}", route.name);
    Err(PlacementFault::new(FaultKind::UnknownRoute, text))
}

/// Returns the demand of the request. Without counts, nothing is known of it, as for a request that
/// states none.
fn read_demand(question: &PlacementQuestion) -> TokenDemand {
    if question.prompt_tokens.is_none() && question.output_tokens.is_none() {
        return TokenDemand::default();
    }
    let output = question.output_tokens.unwrap_or_default();
    TokenDemand::estimate(question.prompt_tokens.unwrap_or_default(), u64::MAX, Some(output))
}
