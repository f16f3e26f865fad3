//! Applies the operators' table to the view.

use tracing::{info, warn};

use crate::{GatewayContext, StoreError, TableBatch, TableRecord};

/// Applies new records of the table.
pub fn apply(context: &GatewayContext, batch: &TableBatch) {
    let mut changed = false;
    for record in &batch.records {
        match apply_record(context, record) {
            Ok(is_change) => changed |= is_change,
            Err(error) => {
                warn!(key = record.key, offset = record.offset, %error, "orders: not understood");
            }
        }
    }
    if changed {
        context.announce_change();
    }
}

fn apply_record(context: &GatewayContext, record: &TableRecord) -> Result<bool, StoreError> {
    let now = context.clock.now();
    let Some(value) = &record.value else {
        let ended = context.store.decode_removed_order(&record.key);
        info!(key = record.key, offset = record.offset, "orders: removed");
        return Ok(ended.is_some_and(|zone| context.view().end_evacuation(&zone)));
    };
    let Some(order) = context.store.decode_order(&record.key, value)? else { return Ok(false) };
    let changed = context.view().apply_order(order, now);
    let version = context.view().plan().map_or(0, |plan| plan.version);
    context.metrics.plan_version.set(version as i64);
    info!(key = record.key, offset = record.offset, version, changed, "orders: applied");
    Ok(changed)
}
