//! Follows the table of backend servers.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tracing::info;

use crate::{FleetTable, GatewayContext, TableBatch, TableRecord, store_reader::StoreReader};

/// Longest wait of a read.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Shortest time between reads. Servers that leave give about two seconds of notice.
const READ_SPACING: Duration = Duration::from_millis(300);
/// Time between checks for lapsed registrations.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the table for the lifetime of the process.
pub async fn follow(context: Arc<GatewayContext>) {
    tokio::spawn(expire(Arc::clone(&context)));
    let mut reader = StoreReader::new(&context, FleetTable::Servers, READ_WAIT, READ_SPACING);
    loop {
        let (batch, is_whole) = reader.next().await;
        apply(&context, batch, is_whole);
    }
}

async fn expire(context: Arc<GatewayContext>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = context.clock.now();
        if context.view().expire_servers(now) {
            context.announce_change();
        }
        context.pool.sweep();
    }
}

/// Takes records of the table; `is_whole` tells that they are all there are.
pub fn apply(context: &GatewayContext, batch: TableBatch, is_whole: bool) {
    let mut changed = false;
    let mut ids = BTreeSet::new();
    for record in &batch.records {
        ids.insert(record.key.clone());
        changed |= apply_record(context, record);
    }
    let now = context.clock.now();
    let mut view = context.view();
    if is_whole {
        changed |= view.retain_servers(&ids, now);
        view.note_servers_known();
    }
    let count = view.servers().filter(|(_, state)| state.takes_work(now)).count();
    drop(view);
    context.metrics.servers.set(count as i64);
    if changed {
        context.announce_change();
    }
}

fn apply_record(context: &GatewayContext, record: &TableRecord) -> bool {
    let now = context.clock.now();
    let Some(value) = &record.value else {
        let changed = context.view().remove_server(&record.key, now);
        info!(server = record.key, offset = record.offset, changed, "servers: removed");
        return changed;
    };
    match context.store.decode_server(value) {
        Ok(server) => {
            let draining = server.is_draining;
            let cold_ms = server.cold_left.as_millis() as u64;
            let changed = context.view().apply_server(&record.key, server, record.offset, now);
            if changed {
                info!(
                    server = record.key,
                    offset = record.offset,
                    draining,
                    cold_ms,
                    "servers: changed"
                );
            }
            changed
        }
        Err(error) => {
            tracing::warn!(server = record.key, offset = record.offset, %error,
                "servers: not understood");
            false
        }
    }
}
