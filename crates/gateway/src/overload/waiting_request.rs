//! Request that waits for the head of its response.

use std::sync::Arc;

use dragonflycart_core::ErrorKind;
use tracing::{info, warn};

use super::{LoadChange, RefusalReason, VmLoad};
use crate::{GatewayContext, GatewayFailure};

/// Request that counts as waiting until this is dropped, also when its task is cancelled because the
/// caller disconnected.
pub(crate) struct WaitingRequest {
    context: Arc<GatewayContext>,
}

impl WaitingRequest {
    /// Counts a request as waiting.
    pub(crate) fn new(context: &Arc<GatewayContext>) -> WaitingRequest {
        apply(context, VmLoad::note_waiting);
        WaitingRequest { context: Arc::clone(context) }
    }

    /// Ends the wait.
    pub(crate) fn close(self) {
        drop(self);
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        apply(&self.context, VmLoad::note_answered);
    }
}

/// Checks that the VM is not overloaded.
///
/// # Errors
///
/// Returns the failure to report if it refuses new requests.
pub(crate) fn check(context: &GatewayContext) -> Result<(), GatewayFailure> {
    let (vms, is_ordered) = {
        let view = context.view();
        (view.vm_count, view.plan().is_some_and(|plan| plan.has_deferrable_route()))
    };
    if !is_ordered {
        return Ok(());
    }
    let mut load = context.vm_load();
    let Some(reason) = load.refuse() else { return Ok(()) };
    let failure = overload_failure(reason, &load, vms);
    drop(load);
    context.metrics.count_load_refusal(reason.into());
    Err(failure)
}

/// Returns the failure with which a new request would be refused now, without counting a refusal.
pub(crate) fn would_refuse(context: &GatewayContext) -> Option<GatewayFailure> {
    let (vms, is_ordered) = {
        let view = context.view();
        (view.vm_count, view.plan().is_some_and(|plan| plan.has_deferrable_route()))
    };
    let load = context.vm_load();
    let reason = load.refusal_reason().filter(|_| is_ordered)?;
    Some(overload_failure(reason, &load, vms))
}

fn overload_failure(reason: RefusalReason, load: &VmLoad, vms: usize) -> GatewayFailure {
    GatewayFailure::new(ErrorKind::Overloaded, reason.cause())
        .with_retry_after(load.retry_time(vms))
}

/// Changes the load of the VM, and logs what follows from it.
pub(super) fn apply(context: &GatewayContext, change: impl FnOnce(&mut VmLoad) -> Vec<LoadChange>) {
    let mut load = context.vm_load();
    let changes = change(&mut load);
    let (waiting, bound, delay) = (load.waiting(), load.waiting_bound(), load.delay().average());
    drop(load);
    let delay_ms = delay.as_millis() as u64;
    for change in changes {
        match change {
            LoadChange::Begins(reason) => {
                let reason = <&str>::from(reason);
                warn!(reason, waiting, bound, delay_ms, "gateway: overloaded");
            }
            LoadChange::Ends { reason, refused } => {
                let reason = <&str>::from(reason);
                info!(reason, waiting, bound, delay_ms, refused, "gateway: no longer overloaded");
            }
        }
    }
}
