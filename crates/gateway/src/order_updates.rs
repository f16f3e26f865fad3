//! Applies records of the operators' table to the view.

use tracing::{info, warn};

use crate::{
    FleetOrder, GatewayClock, GatewayContext, StoreError, StorePosition, TableBatch, TableRecord,
};

/// Applies new records.
pub fn apply(context: &GatewayContext, batch: &TableBatch) {
    let mut changed = false;
    for record in &batch.records {
        match apply_record(context, record, batch.era) {
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

fn apply_record(
    context: &GatewayContext,
    record: &TableRecord,
    era: u64,
) -> Result<bool, StoreError> {
    let now = context.clock.now();
    let Some(value) = &record.value else {
        let ended = context.store.decode_removed_order(&record.key);
        info!(key = record.key, offset = record.offset, "orders: removed");
        return Ok(ended.is_some_and(|zone| context.view().end_evacuation(&zone)));
    };
    let Some(order) = context.store.decode_order(&record.key, value)? else { return Ok(false) };
    if let FleetOrder::MoveVersion(order) = order {
        let (service, target) = (order.service.clone(), order.target.clone());
        let time_limit_ms = order.time_limit.as_millis() as u64;
        let now_ms = GatewayClock::unix_ms();
        let position = StorePosition::new(era, record.offset);
        let is_new = context.view().start_version_move(order, position, now, now_ms);
        info!(service, target, time_limit_ms, order = %position, is_new, "versions: ordered");
        return Ok(is_new);
    }
    let changed = context.view().apply_order(order, now);
    let version = context.view().plan().map_or(0, |plan| plan.version);
    context.metrics.plan_version.set(version as i64);
    info!(key = record.key, offset = record.offset, version, changed, "orders: applied");
    Ok(changed)
}
