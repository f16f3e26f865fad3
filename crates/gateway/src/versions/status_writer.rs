//! Writes the statuses of version moves to the store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::sync::{Mutex, OwnedMutexGuard};
use tracing::{info, warn};

use crate::{FleetTable, GatewayContext, StoreError, VersionMoveRecord};

/// Maximum age of the table of statuses for this VM to rely on it: an older copy may lack another
/// VM's decision.
const STATUS_AGE: Duration = Duration::from_millis(2_000);

/// Statuses that this VM has written, by service.
type WrittenStatuses = BTreeMap<String, VersionMoveRecord>;

/// Writes statuses beside the decisions, which must not wait for a store that is slow or away.
pub(crate) struct StatusWriter {
    context: Arc<GatewayContext>,
    /// Locked while statuses are written.
    written: Arc<Mutex<WrittenStatuses>>,
}

impl StatusWriter {
    /// Builds a writer that has written nothing yet.
    pub(crate) fn new(context: &Arc<GatewayContext>) -> StatusWriter {
        StatusWriter { context: Arc::clone(context), written: Arc::default() }
    }

    /// Starts to write the statuses of these services, unless the writer is still busy. Must be called
    /// again at short intervals.
    pub(crate) fn start(&self, services: Vec<String>) {
        let Ok(written) = Arc::clone(&self.written).try_lock_owned() else { return };
        tokio::spawn(write_all(Arc::clone(&self.context), services, written));
    }
}

async fn write_all(
    context: Arc<GatewayContext>,
    services: Vec<String>,
    mut written: OwnedMutexGuard<WrittenStatuses>,
) {
    for service in services {
        let status =
            context.view().version_move(&service).map(|version_move| version_move.status());
        let Some(status) = status else { continue };
        if written.get(&service) == Some(&status) && !status.phase.is_final() {
            continue;
        }
        if write(&context, &status).await {
            written.insert(service, status);
        }
    }
}

/// Writes a status, unless the store has one that this VM does not know yet. Returns whether it was
/// written. A final status takes effect once it is read back.
async fn write(context: &GatewayContext, status: &VersionMoveRecord) -> bool {
    let is_current = context.tables.age(FleetTable::Statuses).is_some_and(|age| age < STATUS_AGE);
    let Some(at) = context.tables.next(FleetTable::Statuses).filter(|_| is_current) else {
        return false;
    };
    if status.order.era != at.era {
        // The order has no position in this era yet, or the statuses were last read before it.
        return false;
    }
    let result = context.store.write_status(status, at).await;
    let service = &status.service;
    match &result {
        Ok(()) => info!(service, phase = %status.phase, %at, "versions: status written"),
        Err(StoreError::Conflict) => {
            info!(service, phase = %status.phase, %at, "versions: another status came first");
        }
        Err(error) => warn!(service, phase = %status.phase, %error, "versions: status not written"),
    }
    result.is_ok()
}
