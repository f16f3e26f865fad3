//! Follows the operators' table.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tracing::{info, warn};

use crate::{
    FleetOrder, FleetTable, GatewayContext, StoreError, TableBatch, TableRecord,
    store_reader::StoreReader,
};

/// Longest wait of a read. Changes are rare, and each answer costs a call.
const READ_WAIT: Duration = Duration::from_secs(20);
/// Shortest time between reads, so that a storm of changes costs few calls.
const READ_SPACING: Duration = Duration::from_millis(100);

/// Follows the table for the lifetime of the process.
pub async fn follow(context: Arc<GatewayContext>) {
    let mut reader = StoreReader::new(&context, FleetTable::Orders, READ_WAIT, READ_SPACING);
    loop {
        let (batch, is_whole) = reader.next().await;
        apply(&context, batch, is_whole);
    }
}

fn apply(context: &GatewayContext, batch: TableBatch, is_whole: bool) {
    let mut zones = BTreeSet::new();
    let mut changed = false;
    for record in &batch.records {
        match apply_record(context, record, &mut zones) {
            Ok(is_change) => changed |= is_change,
            Err(error) => {
                warn!(key = record.key, offset = record.offset, %error, "orders: not understood");
            }
        }
    }
    if is_whole {
        context.view().retain_evacuations(&zones);
    }
    if changed {
        context.announce_change();
    }
}

fn apply_record(
    context: &GatewayContext,
    record: &TableRecord,
    zones: &mut BTreeSet<String>,
) -> Result<bool, StoreError> {
    let now = context.clock.now();
    let Some(value) = &record.value else {
        let ended = context.store.decode_removed_order(&record.key);
        info!(key = record.key, offset = record.offset, "orders: removed");
        return Ok(ended.is_some_and(|zone| context.view().end_evacuation(&zone)));
    };
    let Some(order) = context.store.decode_order(&record.key, value)? else { return Ok(false) };
    if let FleetOrder::EvacuateZone { zone } = &order {
        zones.insert(zone.clone());
    }
    let changed = context.view().apply_order(order, now);
    let version = context.view().plan().map_or(0, |plan| plan.version);
    context.metrics.plan_version.set(version as i64);
    info!(key = record.key, offset = record.offset, version, changed, "orders: applied");
    Ok(changed)
}
