//! Log lines and metrics of learned capacity.

use dragonflycart_capacity::CapacityChange;
use tracing::info;

use crate::GatewayContext;

/// Logs what changed in the judgement of servers since the last call, and updates the metrics.
pub(crate) fn report_changes(context: &GatewayContext) {
    let now = context.clock.now();
    let (changes, counts, speeds) = {
        let mut view = context.view();
        (view.take_capacity_changes(), view.take_capacity_counts(), view.learned_speeds(now))
    };
    let metrics = &context.metrics;
    metrics.count_capacity_samples("own", counts.own_samples);
    metrics.count_capacity_samples("peer", counts.peer_samples);
    metrics.count_capacity_samples("unused", counts.unused_peer_samples);
    metrics.unusable_load_headers.inc_by(counts.unusable_headers);
    metrics.capacity_retests.inc_by(counts.retests);
    metrics.measured_servers.set(speeds.len() as i64);
    let slowest = speeds.iter().copied().reduce(f64::min).unwrap_or(1.0);
    metrics.slowest_server_percent.set((slowest * 100.0).round() as i64);
    for (server, change) in changes {
        match change {
            CapacityChange::HeaderUnusable { fault } => {
                info!(server, fault = <&str>::from(fault), "server: load header not used");
            }
            CapacityChange::HeaderUsable => info!(server, "server: load header used again"),
            CapacityChange::SpeedChanged { old, new } => {
                let (old, new) = ((old * 100.0).round() as u32, (new * 100.0).round() as u32);
                info!(server, old_percent = old, speed_percent = new, "server: speed learned");
            }
        }
    }
}
