//! Waits until an engine has capacity for a generation.
//!
//! Requests wait in the gateway and not in an engine's queue: the queue is lost when its engine
//! shuts down, and a request that was sent to an engine can't be retried.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use dragonflycart_admission::{EstimateInputs, GiveWay, WaitEstimate, WaitProspect, maximum_wait};
use dragonflycart_core::ErrorKind;
use tokio::time::Instant;
use tracing::info;

use crate::{
    CallerRequest, FleetView, GatewayContext, GatewayFailure, GenerationReservation,
    GenerationTiming, ServerKey,
    admission::{self, QueueEntry},
    containment::prompt_check,
    revocation::key_check,
    server_attempt,
};

/// Maximum time between attempts to find an engine. Memory that other VMs freed and requests that
/// became late wake nobody.
const TRY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait as a multiple of the latency target, for services without a deferrable route.
/// Callers abandon a stream after four times the target, and the prompt still has to be processed
/// after the wait.
const WAIT_TARGETS: f64 = 3.0;

/// Inverse of the part of their remaining time for which callers honour a `Retry-After`.
const RETRY_SHARE: u32 = 3;

/// Why a request was refused for want of room on engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum RefusalReason {
    /// By the estimate on arrival, it could not begin before its caller gives up.
    WaitTooLong,
    /// By a later estimate, it can no longer begin before its caller gives up.
    WaitBecameTooLong,
    /// It waited for as long as it may.
    NoRoomInTime,
}

/// Reserves an engine as soon as one has capacity.
///
/// # Errors
///
/// Returns the failure to report if no engine has capacity in time or can be expected to, if this VM
/// stops, if the request's key is no longer accepted, or if a part of its prompt was contained.
pub async fn reserve_engine(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    excluded: &BTreeSet<ServerKey>,
) -> Result<GenerationReservation, GatewayFailure> {
    let is_managed = request.admission.is_managed();
    let maximum = longest_wait(&context.view(), request);
    let entry = QueueEntry::new(context, request, maximum);
    let began = Instant::now();
    let give_up_at = (request.arrived + maximum).min(request.deadline);
    let mut estimate = None;
    let mut tries = 0_u32;
    let mut prospect = WaitProspect::default();
    let mut give_way = GiveWay::default();
    loop {
        server_attempt::check_stop(context)?;
        key_check::check_request(context, request)?;
        prompt_check::check_request(context, request)?;
        if entry.has_turn() {
            tries += 1;
            if !gives_way(context, request, &entry, excluded, &mut give_way)
                && let Some(reservation) = GenerationReservation::take(context, request, excluded)
            {
                note_wait(context, request, estimate, began, true);
                charge(context, request);
                return Ok(reservation);
            }
            entry.note_no_room();
        }
        let left = give_up_at.saturating_duration_since(Instant::now());
        let is_arriving = estimate.is_none();
        if is_managed && (is_arriving || prospect.is_due(left, context.clock.now())) {
            let (inputs, expected) =
                estimate_wait(context, request, &entry, excluded, &mut prospect, left);
            estimate.get_or_insert(expected);
            if expected.exceeds(left) {
                let reason = if is_arriving {
                    RefusalReason::WaitTooLong
                } else {
                    note_wait(context, request, estimate, began, false);
                    RefusalReason::WaitBecameTooLong
                };
                log_refusal(context, request, reason, (inputs, expected), left);
                let retry_after = promise_return(context, request, expected);
                return Err(wait_failure().with_retry_after(retry_after));
            }
        }
        if Instant::now() >= give_up_at {
            note_wait(context, request, estimate, began, false);
            if !is_managed {
                let waiting = context.admission.table().queue.count(&request.service);
                info!(id = request.attempt, tries, waiting, "stream: no engine had room in time");
            }
            return Err(no_room(context, request, &entry, excluded, &mut prospect));
        }
        let pause = tokio::time::sleep_until((Instant::now() + TRY_INTERVAL).min(give_up_at));
        tokio::select! {
            () = entry.woken() => {}
            () = pause => {}
        }
    }
}

/// Returns the failure of a request that would wait in vain.
pub(crate) fn wait_failure() -> GatewayFailure {
    GatewayFailure::new(ErrorKind::Overloaded, "the wait would be too long")
}

/// Returns the maximum time from a request's arrival in which it may wait for an engine.
pub(crate) fn longest_wait(view: &FleetView, request: &CallerRequest) -> Duration {
    let target = request.route.latency_target;
    if !request.admission.is_managed() {
        return target.mul_f64(WAIT_TARGETS);
    }
    let expected = view.timing(&request.service).and_then(GenerationTiming::expected_start);
    let time_limit = request.deadline.saturating_duration_since(request.arrived);
    maximum_wait(target, time_limit, expected.unwrap_or_default())
}

/// Returns whether the request leaves the room for now to more urgent ones of other VMs.
fn gives_way(
    context: &GatewayContext,
    request: &CallerRequest,
    entry: &QueueEntry<'_>,
    excluded: &BTreeSet<ServerKey>,
    give_way: &mut GiveWay,
) -> bool {
    if !request.admission.is_managed() {
        return false;
    }
    let now = context.clock.now();
    let share = context.admission.table().urgent_share(entry.id(), &request.service, now);
    if share == 0 {
        return false;
    }
    let room = context.view().room_tokens(&request.query(excluded), now);
    give_way.gives_way(request.demand.reserved_tokens(), share, room, now)
}

/// Estimates how much longer a request waits. `left` is the time that it may still wait.
fn estimate_wait(
    context: &GatewayContext,
    request: &CallerRequest,
    entry: &QueueEntry<'_>,
    excluded: &BTreeSet<ServerKey>,
    prospect: &mut WaitProspect,
    left: Duration,
) -> (EstimateInputs, WaitEstimate) {
    let now = context.clock.now();
    let late_at = request.arrived + request.route.latency_target;
    let late_in = late_at.saturating_duration_since(Instant::now());
    let waiter = (request.service.as_str(), entry.tokens());
    let is_arriving = prospect.is_new();
    let inputs = {
        let mut table = context.admission.table();
        prospect.note_estimate(table.queue.count(&request.service), now);
        table.review_inputs(entry.id(), waiter, late_in, prospect, now)
    };
    // Room only shortens the wait, so the search of all engines for it is left out where it can't
    // change the decision.
    let without_room = WaitEstimate::from_inputs(inputs);
    if !is_arriving && !left.is_zero() && !without_room.exceeds(left) {
        return (inputs, without_room);
    }
    let room_tokens = context.view().room_tokens(&request.query(excluded), now);
    let inputs = EstimateInputs { room_tokens, ..inputs };
    (inputs, WaitEstimate::from_inputs(inputs))
}

/// Records how long a request waited, and compares that with the estimate on its arrival. A request
/// that was not admitted would have waited for longer.
fn note_wait(
    context: &GatewayContext,
    request: &CallerRequest,
    estimate: Option<WaitEstimate>,
    began: Instant,
    is_admitted: bool,
) {
    let wait = began.elapsed();
    context.metrics.count_engine_wait(wait);
    let Some(estimate) = estimate else { return };
    let wait_s = wait.as_secs_f64();
    if !is_admitted {
        context.admission.table().note_unserved(&request.service, estimate, wait_s);
        return;
    }
    let ratio = wait_s / estimate.wait.as_secs_f64();
    if !estimate.is_doubtful && ratio.is_finite() {
        context.metrics.count_wait_ratio(ratio);
    }
    context.admission.table().note_wait(&request.service, estimate, wait_s);
}

/// Charges an admitted request to its team.
fn charge(context: &GatewayContext, request: &CallerRequest) {
    let Some(team) = request.team.as_deref().filter(|_| request.admission.is_managed()) else {
        return;
    };
    let tokens = request.demand.prompt_tokens + request.demand.expected_tokens();
    let now = context.clock.now();
    context.admission.table().team_use.charge(team, tokens, now);
}

/// Returns after which time a refused request is told to come back. If its caller can be expected to
/// do so, those that are refused next come later.
fn promise_return(
    context: &GatewayContext,
    request: &CallerRequest,
    estimate: WaitEstimate,
) -> Duration {
    let time = estimate.retry_after;
    if time <= request.time_left() / RETRY_SHARE {
        let tokens = admission::engine_tokens(context, request);
        let now = context.clock.now();
        context.admission.table().note_promise(&request.service, tokens, time, now);
    }
    time
}

/// Counts and logs a refusal, with the estimate and what it was based on.
fn log_refusal(
    context: &GatewayContext,
    request: &CallerRequest,
    reason: RefusalReason,
    (inputs, estimate): (EstimateInputs, WaitEstimate),
    left: Duration,
) {
    context.metrics.count_refusal(reason.into());
    info!(
        id = request.attempt,
        service = request.service,
        class = %request.admission,
        rank = request.rank(),
        reason = <&str>::from(reason),
        wait_ms = estimate.wait.as_millis() as u64,
        is_doubtful = estimate.is_doubtful,
        left_ms = left.as_millis() as u64,
        ahead_tokens = inputs.ahead_tokens,
        late_tokens = inputs.late_tokens,
        own_tokens = inputs.own_tokens,
        room_tokens = inputs.room_tokens,
        promised_tokens = inputs.promised_tokens,
        freed_per_s = inputs.freed_per_s as u64,
        freed_samples = inputs.freed_samples as u64,
        wait_ratio = inputs.wait_ratio.0,
        waits = inputs.wait_ratio.1 as u64,
        "admission: refused"
    );
}

/// Returns the failure of a request that was not sent because no engine had capacity in time.
fn no_room(
    context: &GatewayContext,
    request: &CallerRequest,
    entry: &QueueEntry<'_>,
    excluded: &BTreeSet<ServerKey>,
    prospect: &mut WaitProspect,
) -> GatewayFailure {
    let failure = GatewayFailure::new(ErrorKind::Overloaded, "no engine had room");
    let target = request.route.latency_target;
    let reason = RefusalReason::NoRoomInTime;
    if !request.admission.is_managed() {
        context.metrics.count_refusal(reason.into());
        return failure.with_retry_after(target);
    }
    let (inputs, estimate) =
        estimate_wait(context, request, entry, excluded, prospect, Duration::ZERO);
    log_refusal(context, request, reason, (inputs, estimate), Duration::ZERO);
    // An estimate of no wait was wrong, since the request found no engine.
    if estimate.is_doubtful || estimate.retry_after.is_zero() {
        return failure.with_retry_after(target);
    }
    failure.with_retry_after(promise_return(context, request, estimate))
}
