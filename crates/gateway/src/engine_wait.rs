//! Waits until an engine has capacity for a generation.
//!
//! Requests wait in the gateway and not in an engine's queue: the queue is lost when its engine
//! shuts down, and a request that was sent to an engine can't be retried.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use dragonflycart_admission::{EstimateInputs, GiveWay, WaitEstimate, maximum_wait};
use dragonflycart_core::ErrorKind;
use tokio::time::Instant;
use tracing::info;

use crate::{
    CallerRequest, FleetView, GatewayContext, GatewayFailure, GenerationReservation,
    GenerationTiming, ServerKey, admission::QueueEntry, containment::prompt_check,
    revocation::key_check, server_attempt,
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
    /// By the estimate, it could not begin before its caller gives up.
    WaitTooLong,
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
                note_wait(context, request, estimate, began);
                charge(context, request);
                return Ok(reservation);
            }
            entry.note_no_room();
        }
        if is_managed && estimate.is_none() {
            let inputs = estimate_inputs(context, request, &entry, excluded);
            let expected = WaitEstimate::from_inputs(inputs);
            estimate = Some(expected);
            let left = give_up_at.saturating_duration_since(Instant::now());
            if expected.exceeds(left) {
                log_refusal(context, request, RefusalReason::WaitTooLong, (inputs, expected), left);
                let retry_after = promise_return(context, request, expected);
                return Err(wait_failure().with_retry_after(retry_after));
            }
        }
        if Instant::now() >= give_up_at {
            note_wait(context, request, estimate, began);
            if !is_managed {
                let waiting = context.admission.table().queue.count(&request.service);
                info!(id = request.attempt, tries, waiting, "stream: no engine had room in time");
            }
            return Err(no_room(context, request, &entry, excluded));
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

fn estimate_inputs(
    context: &GatewayContext,
    request: &CallerRequest,
    entry: &QueueEntry<'_>,
    excluded: &BTreeSet<ServerKey>,
) -> EstimateInputs {
    let now = context.clock.now();
    let room = context.view().room_tokens(&request.query(excluded), now);
    let own = request.demand.reserved_tokens();
    let late_at = request.arrived + request.route.latency_target;
    let late_in = late_at.saturating_duration_since(Instant::now());
    let waiter = (request.service.as_str(), own);
    context.admission.table().estimate_inputs(entry.id(), waiter, late_in, room, now)
}

/// Records how long a request waited, and compares that with the estimate.
fn note_wait(
    context: &GatewayContext,
    request: &CallerRequest,
    estimate: Option<WaitEstimate>,
    began: Instant,
) {
    let wait = began.elapsed();
    context.metrics.count_engine_wait(wait);
    let Some(estimate) = estimate else { return };
    let wait_s = wait.as_secs_f64();
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
        let tokens = request.demand.reserved_tokens();
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
) -> GatewayFailure {
    let failure = GatewayFailure::new(ErrorKind::Overloaded, "no engine had room");
    let target = request.route.latency_target;
    let reason = RefusalReason::NoRoomInTime;
    if !request.admission.is_managed() {
        context.metrics.count_refusal(reason.into());
        return failure.with_retry_after(target);
    }
    let inputs = estimate_inputs(context, request, entry, excluded);
    let estimate = WaitEstimate::from_inputs(inputs);
    log_refusal(context, request, reason, (inputs, estimate), Duration::ZERO);
    if estimate.is_doubtful {
        return failure.with_retry_after(target);
    }
    failure.with_retry_after(promise_return(context, request, estimate))
}
