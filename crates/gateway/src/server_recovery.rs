//! Takes servers back whose registration lapsed and is there again.
//!
//! A server that is cut off from the store serves on, and comes back when the cut ends. Its new
//! registration alone proves nothing, since the last one of a server that left may reach the store
//! late; so the server itself is asked.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use tracing::info;

use crate::{GatewayContext, HttpCall, ServerKey};

/// Time between looks at the servers that may be back.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Time before a server is asked again. A server that is cut off from the store is away for
/// seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for an answer. The check waits for a slot of the server.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// What is needed to ask one server.
struct RecoveryCheck {
    key: ServerKey,
    id: String,
    address: SocketAddr,
    path: String,
}

/// Asks servers that may be back, for the lifetime of the process.
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
    let response = call.send_for_head(&context.pool, check.address, CHECK_TIMEOUT).await;
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
    // It may have been removed, or have said that it leaves, while it was asked.
    if state.may_have_recovered(now) {
        state.note_recovered();
        drop(view);
        context.announce_change();
    }
}
