//! Applies records of the table of statuses to the view.

use tracing::{info, warn};

use crate::{GatewayClock, GatewayContext, TableBatch};

/// Applies new records.
pub fn apply(context: &GatewayContext, batch: &TableBatch) {
    let mut changed = false;
    for record in &batch.records {
        let Some(value) = &record.value else { continue };
        let status = match context.store.decode_status(&record.key, value, batch.era) {
            Ok(Some(status)) => status,
            Ok(None) => continue,
            Err(error) => {
                warn!(key = record.key, offset = record.offset, %error, "versions: not understood");
                continue;
            }
        };
        let now = context.clock.now();
        changed |= context.view().note_version_move_status(&status, now, GatewayClock::unix_ms());
        info!(
            service = status.service,
            target = status.target,
            phase = %status.phase,
            order = %status.order,
            offset = record.offset,
            "versions: status read"
        );
    }
    context.view().note_statuses_read();
    if changed {
        context.announce_change();
    }
}
