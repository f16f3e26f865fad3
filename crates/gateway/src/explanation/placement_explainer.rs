//! Explains what would happen to a request that arrives now.

use std::{collections::BTreeSet, time::Duration};

use dragonflycart_core::{ErrorKind, MonoTime};
use dragonflycart_explanation::{
    FaultKind, PlacementAnswer, PlacementFault, PlacementOutcome, PlacementQuestion, WaitReason,
};

use super::{ChoiceExplanation, question_reader, turn_preview::TurnPreview};
use crate::{
    BootTime, CallTimes, CallerRequest, GatewayContext, GatewayFailure, RouteKind, SlotSurvey,
    containment::prompt_check,
    engine_wait,
    overload::waiting_request,
    plain_calls::{call_query, slot_wait},
    revocation::key_check,
    server_attempt,
    server_state::whole_millis,
};

/// Returns what would happen to the request of a question if it arrived now, and why. Nothing is
/// sent or reserved, and no state changes.
///
/// # Errors
///
/// Returns the failure to report if the question can't be answered.
pub fn explain_request(
    context: &GatewayContext,
    question: &PlacementQuestion,
) -> Result<PlacementAnswer, PlacementFault> {
    let plan = {
        let view = context.view();
        let not_ready = |text: &str| PlacementFault::new(FaultKind::NotReady, text);
        let plan = view.plan().cloned();
        let plan = plan.ok_or_else(|| not_ready("this VM does not know the route plan yet"))?;
        if !view.is_complete() {
            return Err(not_ready("this VM does not know the servers yet"));
        }
        plan
    };
    let request = question_reader::build_request(context, &plan, question)?;
    let (choice, outcome) = explain(context, &request);
    let refusal = refusal_on_arrival(context, &request, plan.has_teams());
    Ok(PlacementAnswer {
        vm: context.settings.name.clone(),
        zone: context.settings.zone.clone(),
        plan_version: plan.version,
        plan_age_ms: context.freshness().age(BootTime::now()).map(whole_millis),
        services: request.route.services.iter().cloned().collect(),
        rank: request.rank(),
        admission: request.admission.to_string(),
        reserved_tokens: request.demand.reserved_tokens(),
        seed: request.sample_seed,
        fill_limit: choice.fill_limit,
        sampled_share: choice.sampled_share,
        version_move: choice.version_move,
        outcome: refusal.map_or(outcome, refused),
        servers: choice.servers,
        route: request.route.name,
        service: request.service,
        team: request.team,
    })
}

/// Returns the failure of a request that is refused before a server is chosen. The order is that in
/// which a request is checked.
fn refusal_on_arrival(
    context: &GatewayContext,
    request: &CallerRequest,
    has_teams: bool,
) -> Option<GatewayFailure> {
    let needs_key = has_teams && !request.route.is_public;
    let key_failure = if needs_key { key_check::check_plan(context).err() } else { None };
    key_failure
        .or_else(|| server_attempt::check_stop(context).err())
        .or_else(|| waiting_request::would_refuse(context))
        .or_else(|| prompt_check::would_refuse(context, &request.prompt_parts))
        .or_else(|| {
            let is_stream = request.route.kind == RouteKind::Stream;
            let left = context.time_to_stop().filter(|_| is_stream)?;
            let ends = context.view().ends_within(&request.service, request.demand, left);
            (!ends).then(|| {
                GatewayFailure::new(ErrorKind::Draining, "it would outlast this VM")
                    .with_retry_after(Duration::ZERO)
            })
        })
}

fn explain(
    context: &GatewayContext,
    request: &CallerRequest,
) -> (ChoiceExplanation, PlacementOutcome) {
    let now = context.clock.now();
    if request.route.kind == RouteKind::Stream {
        return explain_stream(context, request, now);
    }
    let waits = slot_wait::takes_effect_in(&context.view(), request, now);
    if waits {
        return explain_waiting_call(context, request, now);
    }
    let excluded = BTreeSet::new();
    let choice = context.view().explain_choice(&request.query(&excluded), now);
    let outcome = match &choice.result {
        Ok(id) => PlacementOutcome::Server { id: id.clone() },
        Err(_) => refused(server_attempt::not_run("no server takes work")),
    };
    (choice, outcome)
}

/// Explains a stream, which may wait for an engine.
fn explain_stream(
    context: &GatewayContext,
    request: &CallerRequest,
    now: MonoTime,
) -> (ChoiceExplanation, PlacementOutcome) {
    let excluded = BTreeSet::new();
    let query = request.query(&excluded);
    let (choice, room, maximum) = {
        let view = context.view();
        let room = if request.admission.is_managed() { view.room_tokens(&query, now) } else { 0 };
        (view.explain_choice(&query, now), room, engine_wait::longest_wait(&view, request))
    };
    let turn = TurnPreview::new(context, request, (maximum, room), now);
    let reason = match (&choice.result, turn.has_turn) {
        (Ok(id), Some(true)) if !turn.gives_way => {
            let outcome = PlacementOutcome::Server { id: id.clone() };
            return (choice, outcome);
        }
        (Ok(_), Some(true)) => WaitReason::GivesWay,
        (Ok(_), Some(false)) => WaitReason::OthersFirst,
        (Ok(_), None) => WaitReason::ManyWaiting,
        (Err(ErrorKind::Overloaded), _) => WaitReason::NoRoom,
        (Err(_), _) => WaitReason::NoServer,
    };
    let maximum = maximum.min(request.time_left());
    if let Some(estimate) = turn.estimate.filter(|estimate| estimate.exceeds(maximum)) {
        let failure = engine_wait::wait_failure().with_retry_after(estimate.retry_after);
        return (choice, refused(failure));
    }
    let estimate = turn.estimate.filter(|estimate| !estimate.is_doubtful);
    let outcome = PlacementOutcome::Wait {
        reason,
        waiting: turn.waiting,
        expected_ms: estimate.map(|estimate| whole_millis(estimate.wait)),
        maximum_ms: whole_millis(maximum),
    };
    (choice, outcome)
}

/// Explains a call that may wait for a server with a free slot.
fn explain_waiting_call(
    context: &GatewayContext,
    request: &CallerRequest,
    now: MonoTime,
) -> (ChoiceExplanation, PlacementOutcome) {
    let waiting = context.plain_calls.waiting(&request.service);
    let view = context.view();
    let survey = SlotSurvey::new(&view, &request.service, &BTreeSet::new(), now);
    let query = call_query(&request.service, request.sample_seed, &survey.full);
    let choice = view.explain_choice(&query, now);
    let arrived = context.clock.at(request.arrived);
    let deadline = context.clock.at(request.deadline);
    let target = request.route.latency_target;
    let times = CallTimes::new(arrived, deadline, target, survey.usual_latency);
    let Some(opens_at) = survey.opens_at else {
        return (choice, refused(server_attempt::not_run("no server takes work")));
    };
    if opens_at > now && opens_at >= times.end_at {
        drop(view);
        let retry_after = slot_wait::retry_time(context, request);
        return (choice, refused(slot_wait::slot_failure().with_retry_after(retry_after)));
    }
    if let Ok(id) = &choice.result {
        let outcome = PlacementOutcome::Server { id: id.clone() };
        return (choice, outcome);
    }
    // A call without time to wait is offered although no slot seems to be free.
    if times.offer_at <= now {
        let excluded = BTreeSet::new();
        let query = call_query(&request.service, request.sample_seed, &excluded);
        let choice = view.explain_choice(&query, now);
        if let Ok(id) = &choice.result {
            let outcome = PlacementOutcome::Server { id: id.clone() };
            return (choice, outcome);
        }
    }
    let outcome = PlacementOutcome::Wait {
        reason: WaitReason::NoFreeSlot,
        waiting,
        expected_ms: None,
        maximum_ms: whole_millis(times.end_at.since(now)),
    };
    (choice, outcome)
}

fn refused(failure: GatewayFailure) -> PlacementOutcome {
    PlacementOutcome::Refusal {
        error: failure.kind.to_string(),
        reason: failure.cause.to_owned(),
        retry_after_ms: failure.retry_after.map(whole_millis),
    }
}
