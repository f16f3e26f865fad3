//! Returns servers to service whose registration expired and reappeared.
//!
//! A server that is partitioned from the store keeps serving, and registers again when the
//! partition heals. The new registration alone is no proof, since the last registration of a server
//! that shut down may reach the store late. So a health check is sent to the server itself.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use tracing::info;

use crate::{GatewayContext, HttpCall, ServerKey};

/// Interval at which to look for servers that may have recovered.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two health checks of a server. Partitions from the store last for seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout of a health check. The check waits for a free slot of the server.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// Health check of one server.
struct RecoveryCheck {
    key: ServerKey,
    id: String,
    address: SocketAddr,
    path: String,
}

/// Checks servers that may have recovered, for the lifetime of the process.
pub async fn check(context: Arc<GatewayContext>) {
    let mut asked = BTreeMap::new();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let now = context.clock.now();
        asked.retain(|_, asked_at| now.since(*asked_at) < CHECK_INTERVAL);
        for check in possible_checks(&context) {
            if asked.contains_key(&check.key) {
                continue;
            }
            asked.insert(check.key, now);
            tokio::spawn(run(Arc::clone(&context), check));
        }
    }
}

fn possible_checks(context: &GatewayContext) -> Vec<RecoveryCheck> {
    let now = context.clock.now();
    let view = context.view();
    let Some(plan) = view.plan() else { return Vec::new() };
    let mut checks = Vec::new();
    for key in view.recovery_candidates(now) {
        let Some(state) = view.server(key) else { continue };
        let Some(service) = plan.services.get(&state.record.service) else { continue };
        checks.push(RecoveryCheck {
            key,
            id: state.id.clone(),
            address: state.record.address,
            path: service.health_path.clone(),
        });
    }
    checks
}

async fn run(context: Arc<GatewayContext>, check: RecoveryCheck) {
    let call = HttpCall::get(check.path);
    let response = context.pool.call(&call, check.address, CHECK_TIMEOUT).await;
    let (status, answered_by) = match &response {
        Ok((head, _)) => (Some(head.status.as_u16()), head.text(context.names.server_id)),
        Err(_) => (None, None),
    };
    let is_back = status == Some(200) && answered_by == Some(check.id.as_str());
    info!(
        server = check.id,
        status,
        answered_by,
        error = response.as_ref().err().map(|error| <&str>::from(*error)),
        is_back,
        "servers: asked whether it is back"
    );
    if !is_back {
        return;
    }
    let now = context.clock.now();
    let mut view = context.view();
    let Some(state) = view.server_mut(check.key) else { return };
    // The server may have been removed or started to drain during the check.
    if state.may_have_recovered(now) {
        state.note_recovered(now);
        drop(view);
        context.announce_change();
    }
}
