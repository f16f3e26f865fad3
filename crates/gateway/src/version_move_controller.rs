//! Controls version moves. Every VM stops sending requests to a version that is bad; the VM that
//! reads the store for the others decides on the rest and writes the statuses.

use std::{sync::Arc, time::Duration};

use tracing::info;

use crate::{BootTime, GatewayContext, PauseGuard, VersionRole, versions::StatusWriter};

/// Interval between decisions. A bad version must get no more requests five seconds after it was
/// detected.
const DECIDE_INTERVAL: Duration = Duration::from_millis(150);

/// Decides on open version moves and writes their statuses, for the lifetime of the process.
pub async fn run(context: Arc<GatewayContext>) {
    let writer = StatusWriter::new(&context);
    let mut guard = PauseGuard::default();
    loop {
        tokio::time::sleep(DECIDE_INTERVAL).await;
        let is_current = guard.is_current(BootTime::now());
        let now = context.clock.now();
        let overdue = context.view().count_overdue_runs(now);
        if overdue > 0 {
            info!(overdue, "versions: responses overdue");
        }
        let is_deciding = {
            let peers = context.peers();
            is_current && peers.store_reader(now).is_none() && peers.can_read(now)
        };
        let services = context.view().services_with_open_move();
        for service in &services {
            decide(&context, service, is_deciding);
            if context.view().release_old_version(service, now) {
                info!(service, "versions: running requests leave the old version");
                context.announce_change();
            }
        }
        if is_deciding {
            writer.start(services);
        }
    }
}

fn decide(context: &GatewayContext, service: &str, is_deciding: bool) {
    let now = context.clock.now();
    let mut view = context.view();
    let phase = if is_deciding {
        view.decide_version_move(service, now)
    } else {
        view.roll_back_if_bad(service, now)
    };
    let Some(phase) = phase else { return };
    let Some(version_move) = view.version_move(service) else { return };
    let evidence = version_move.evidence();
    info!(
        service,
        target = version_move.order().target,
        order = %version_move.order_position(),
        %phase,
        is_deciding,
        elapsed_ms = version_move.elapsed(now).as_millis() as u64,
        old_results = evidence.total(VersionRole::Old),
        new_results = evidence.total(VersionRole::New),
        results = ?evidence.results(),
        "versions: decided"
    );
    drop(view);
    context.announce_change();
    context.load_changes.notify_one();
}
