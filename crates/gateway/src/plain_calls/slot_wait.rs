//! Waits until a server of a plain service has a free slot.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use dragonflycart_core::{ErrorKind, MonoTime};
use tracing::info;

use super::{CallTimes, SlotSurvey, WaitingCall, call_dispatcher::CallResult};
use crate::{
    CallerRequest, FleetView, GatewayContext, GatewayFailure, ServerKey, ServerReservation,
    StopPhase, server_attempt,
};

/// Minimum time limit of a route, as a multiple of its latency target, for its calls to wait.
const MIN_LIMIT_TARGETS: u32 = 4;
/// Number of refusals from which a call waits for a server that tells of a free slot. Each further
/// offer draws on the retry budget.
const PROOF_REFUSALS: u32 = 2;

/// Failure to reserve a server.
pub(crate) enum WaitFailure {
    /// No server is left for the call.
    NoServer,
    /// No server has a free slot in time, or this VM stops.
    Refused(GatewayFailure),
}

/// Returns whether a call waits for a slot: the plan has a deferrable route, its service has no
/// engines, its route leaves time to wait, and the servers give their slots.
pub(crate) fn takes_effect(context: &GatewayContext, request: &CallerRequest) -> bool {
    takes_effect_in(&context.view(), request, context.clock.now())
}

/// Returns the same as [`takes_effect`], for a caller that holds the lock of the view.
pub(crate) fn takes_effect_in(view: &FleetView, request: &CallerRequest, now: MonoTime) -> bool {
    let route = &request.route;
    if route.time_limit < route.latency_target * MIN_LIMIT_TARGETS {
        return false;
    }
    let is_ordered = view.plan().is_some_and(|plan| plan.has_deferrable_route());
    if !is_ordered || view.engine_spec(&request.service).is_some() {
        return false;
    }
    SlotSurvey::new(view, &request.service, &BTreeSet::new(), now).gives_slots
}

/// Reserves a server as soon as one has a free slot. `refusals` are the number of refusals of the
/// call by servers so far and the time of the last one.
pub(crate) async fn reserve_server(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    excluded: &BTreeSet<ServerKey>,
    refusals: Option<(u32, MonoTime)>,
) -> Result<ServerReservation, WaitFailure> {
    let now = context.clock.now();
    let survey = SlotSurvey::new(&context.view(), &request.service, excluded, now);
    let Some(opens_at) = survey.opens_at else { return Err(WaitFailure::NoServer) };
    let target = request.route.latency_target;
    let (arrived, deadline) =
        (context.clock.at(request.arrived), context.clock.at(request.deadline));
    let mut times = CallTimes::new(arrived, deadline, target, survey.usual_latency);
    if let Some((_, refused_at)) = refusals {
        times = times.after_refusal(refused_at, target);
    }
    if opens_at > now && opens_at >= times.end_at {
        return Err(WaitFailure::Refused(no_slot(context, request)));
    }
    let call = WaitingCall {
        rank: request.rank(),
        arrived,
        times,
        needs_proof: refusals.is_some_and(|(count, _)| count >= PROOF_REFUSALS),
        excluded: excluded.clone(),
        sample_seed: request.sample_seed,
    };
    let (entry, result) = context.plain_calls.enqueue(context, &request.service, call);
    let mut stop = context.stop.subscribe();
    let result = tokio::select! {
        biased;
        result = result => result,
        () = StopPhase::Ending.reached(&mut stop) => {
            return Err(WaitFailure::Refused(server_attempt::stop_failure()));
        }
    };
    let result = match result {
        Ok(CallResult::Placed(reservation)) => Ok(reservation),
        Ok(CallResult::OutOfTime) | Err(_) => Err(WaitFailure::Refused(no_slot(context, request))),
    };
    drop(entry);
    result
}

/// Returns the time after which a repeated call probably finds a free slot.
pub(crate) fn retry_time(context: &GatewayContext, request: &CallerRequest) -> Duration {
    let now = context.clock.now();
    let waiting = context.plain_calls.waiting(&request.service);
    let view = context.view();
    let survey = SlotSurvey::new(&view, &request.service, &BTreeSet::new(), now);
    let closed = survey.opens_at.map_or(Duration::ZERO, |opens_at| opens_at.since(now));
    closed + survey.drain_time(waiting, view.vm_count, request.route.latency_target)
}

/// Returns the failure of a call for which no server has a free slot in time, and logs it.
fn no_slot(context: &GatewayContext, request: &CallerRequest) -> GatewayFailure {
    let now = context.clock.now();
    let retry_after = retry_time(context, request);
    let survey = SlotSurvey::new(&context.view(), &request.service, &BTreeSet::new(), now);
    info!(
        id = request.attempt,
        service = request.service,
        waiting = context.plain_calls.waiting(&request.service),
        slots = survey.slots,
        full = survey.full.len(),
        waited_ms = request.arrived.elapsed().as_millis() as u64,
        retry_after_ms = retry_after.as_millis() as u64,
        "call: no slot was free in time"
    );
    context.metrics.count_load_refusal("no_free_slot");
    slot_failure().with_retry_after(retry_after)
}

/// Returns the failure of a call for which no server has a free slot in time.
pub(crate) fn slot_failure() -> GatewayFailure {
    GatewayFailure::new(ErrorKind::Overloaded, "no server had a free slot")
}
