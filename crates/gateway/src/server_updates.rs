//! Applies records of the table of backend servers to the view.

use std::{sync::Arc, time::Duration};

use tracing::{info, warn};

use crate::{GatewayContext, StorePosition, TableBatch, TableRecord};

/// Interval of the check for expired registrations.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Removes expired registrations and stale idle connections, for the lifetime of the process.
pub async fn expire(context: Arc<GatewayContext>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = context.clock.now();
        if context.view().expire_servers(now) {
            context.announce_change();
        }
        context.pool.sweep();
    }
}

/// Applies new records.
pub fn apply(context: &GatewayContext, batch: &TableBatch) {
    let mut changed = false;
    for record in &batch.records {
        changed |= apply_record(context, record, batch.era);
    }
    let now = context.clock.now();
    let mut view = context.view();
    view.note_servers_known();
    let count = view.servers().filter(|(_, state)| state.accepts_requests(now)).count();
    drop(view);
    context.metrics.servers.set(count as i64);
    if changed {
        context.announce_change();
    }
}

fn apply_record(context: &GatewayContext, record: &TableRecord, era: u64) -> bool {
    let now = context.clock.now();
    let Some(value) = &record.value else {
        let changed = context.view().remove_server(&record.key, now);
        info!(server = record.key, offset = record.offset, changed, "servers: removed");
        return changed;
    };
    let server = match context.store.decode_server(value) {
        Ok(server) => server,
        Err(error) => {
            warn!(server = record.key, offset = record.offset, %error, "servers: not understood");
            return false;
        }
    };
    let draining = server.is_draining;
    let version = server.version.clone();
    let cold_ms = server.cold_left.as_millis() as u64;
    let position = StorePosition::new(era, record.offset);
    let changed = context.view().apply_server(&record.key, server, position, now);
    if changed {
        info!(
            server = record.key,
            offset = record.offset,
            version,
            draining,
            cold_ms,
            "servers: changed"
        );
    }
    changed
}
