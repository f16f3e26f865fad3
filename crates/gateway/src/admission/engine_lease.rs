//! Lease of a slot and memory at an engine before a request is sent to it.
//!
//! Many VMs choose at the same time and hear of each other's requests late, above all when an engine
//! has just started. Without a lease, their requests meet at one engine and wait in its queue, which
//! is lost when the engine shuts down.

use std::{sync::Arc, time::Duration};

use tracing::info;

use crate::{CallerRequest, GatewayContext, GenerationReservation, LeaseResponse};

/// Timeout of a lease call. An engine answers at once; without an answer, the request is sent without
/// a lease.
const LEASE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which this VM sends no new requests to an engine that has no room.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(100);

/// Outcome of a lease call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaseOutcome {
    /// The request can be sent, with a lease if the engine grants leases.
    Ready,
    /// The engine has no room.
    NoRoom,
}

/// Leases a slot and memory at the reserved engine, if its service is managed and its engines grant
/// leases.
pub(crate) async fn take(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    reservation: &mut GenerationReservation,
) -> LeaseOutcome {
    let spec = context.view().engine_spec(&request.service);
    let Some(spec) = spec.filter(|spec| !spec.lease_time.is_zero()) else {
        return LeaseOutcome::Ready;
    };
    if !request.admission.is_managed() {
        return LeaseOutcome::Ready;
    }
    let tokens = request.demand.reserved_tokens().min(spec.memory_tokens);
    let call = context.engine_protocol.lease_call(tokens, spec.lease_time);
    let response = call.send(reservation.engine.address(), LEASE_TIMEOUT).await;
    let decoded = match &response {
        Ok((status, body)) => context.engine_protocol.decode_lease(*status, body),
        Err(_) => None,
    };
    match decoded {
        Some(LeaseResponse::Granted { lease }) => {
            reservation.lease = Some(lease);
            LeaseOutcome::Ready
        }
        Some(LeaseResponse::NoRoom) => {
            let now = context.clock.now();
            if let Some(state) = context.view().server_mut(reservation.engine.server()) {
                state.note_refusal(NO_ROOM_PAUSE, now);
            }
            context.metrics.leases_refused.inc();
            LeaseOutcome::NoRoom
        }
        None => {
            info!(
                id = request.attempt,
                server = reservation.engine.id(),
                status = response.as_ref().ok().map(|(status, _)| *status),
                error = response.as_ref().err().map(|error| <&str>::from(*error)),
                "admission: no answer to a lease call"
            );
            LeaseOutcome::Ready
        }
    }
}
