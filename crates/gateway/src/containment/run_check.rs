//! Checks whether an engine still runs after one of its responses broke off.
//!
//! A response also breaks off when a connection is reset or the network is cut, while the engine
//! serves on. Only an address at which nothing listens shows that the process has ended.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dragonflycart_core::MonoTime;
use tracing::info;

use crate::{
    ConnectionError, GatewayContext, ServerKey, ServerReservation,
    containment::{self, RunState},
};

/// Time from a broken response to the check, in which a process that ends closes its listener.
const CHECK_DELAY: Duration = Duration::from_millis(30);
/// Minimum time between two checks of an engine. Its responses all break off at the same time.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Starts a check of an engine whose response broke off, unless it was checked just before or is
/// known to be leaving.
pub(crate) fn start(context: &Arc<GatewayContext>, reservation: &ServerReservation) {
    let now = context.clock.now();
    {
        let mut view = context.view();
        let Some(state) = view.server_mut(reservation.server()) else { return };
        let is_checked = state.run_checked_at.is_some_and(|at| now.since(at) < CHECK_INTERVAL);
        if is_checked || state.leaving_since.is_some() || state.ended_at.is_some() {
            return;
        }
        state.run_checked_at = Some(now);
    }
    let (server, id) = (reservation.server(), reservation.id().to_owned());
    let (context, address) = (Arc::clone(context), reservation.address());
    tokio::spawn(async move { check(&context, server, &id, address).await });
}

/// Checks an engine of which a response has ended with its connection.
pub(crate) async fn check_engine(
    context: &GatewayContext,
    reservation: &ServerReservation,
) -> RunState {
    check(context, reservation.server(), reservation.id(), reservation.address()).await
}

async fn check(
    context: &GatewayContext,
    server: ServerKey,
    id: &str,
    address: SocketAddr,
) -> RunState {
    tokio::time::sleep(CHECK_DELAY).await;
    if context.view().server(server).is_some_and(|state| state.ended_at.is_some()) {
        return RunState::Ended;
    }
    match context.pool.acquire(address).await {
        Ok(connection) => {
            if !connection.is_reused() {
                context.metrics.connections.inc();
            }
            context.pool.put_back(address, connection);
            info!(server = id, "server: still runs after a broken response");
            RunState::Running
        }
        Err(ConnectionError::NotListening) => {
            note_ended(context, server, context.clock.now());
            RunState::Ended
        }
        Err(error) => {
            info!(server = id, error = <&str>::from(error), "server: not known whether it runs");
            RunState::Unknown
        }
    }
}

/// Records that nothing listens at an engine's address. This is a crash unless the engine was known
/// to be leaving.
pub(crate) fn note_ended(context: &GatewayContext, server: ServerKey, now: MonoTime) {
    let mut view = context.view();
    view.note_unreachable(server, now);
    let Some(state) = view.server_mut(server) else { return };
    if state.leaving_since.is_some() || state.ended_at.is_some() {
        return;
    }
    state.ended_at = Some(now);
    let (id, address) = (state.id.clone(), state.record.address);
    drop(view);
    context.metrics.engine_crashes.inc();
    info!(server = id, %address, "server: ended without notice");
    containment::note_engine_end(context, server);
}
