//! What is found out about a server after the loss of a response, before the stream runs again.

use std::{sync::Arc, time::Duration};

use crate::{
    CallerRequest, GatewayContext, ServerReservation, StreamRuns,
    containment::{RunState, run_check},
};

/// Maximum wait for the check whether the server still runs. The check begins after 30 ms and takes
/// one connection attempt; a server that can't be reached does not answer at all.
const CHECK_TIMEOUT: Duration = Duration::from_millis(80);

/// Waits for the check whether a server whose response was lost still runs, where the decision about
/// another run needs it: the prompt may have made the engine crash and be contained by then, and the
/// run at a server that has left as announced, or whose zone was cut off, does not count. An engine
/// that ended without notice counts, so that one request can't make any number of engines crash.
pub(crate) async fn settle_loss(
    context: &Arc<GatewayContext>,
    request: &CallerRequest,
    server: &ServerReservation,
    runs: &mut StreamRuns,
) {
    if !request.route.may_repeat() {
        return;
    }
    let is_needed = !request.prompt_parts.is_empty() || runs.are_used_up(&request.route);
    let state = if is_needed {
        let check = run_check::check_engine(context, server);
        tokio::time::timeout(CHECK_TIMEOUT, check).await.unwrap_or(RunState::Unknown)
    } else {
        RunState::Unknown
    };
    let now = context.clock.now();
    let view = context.view();
    if state == RunState::Ended && view.leaving_for(server.server(), now).is_some() {
        runs.note_gone(server.server());
    }
    for key in runs.ran_at().clone() {
        if view.is_out_of_reach(key, now) {
            runs.note_gone(key);
        }
    }
}
