//! Keeps the local copy of a table current: from the peer that reads the store, or by reading it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tracing::{info, warn};

use crate::{
    BootTime, FleetTable, GatewayContext, StoreError, StorePosition, TableBatch, order_updates,
    peer_table::SMALL_FLEET, server_updates, version_move_updates,
};

/// Age of a table from which a VM reads it itself although a peer should forward it. Orders must
/// take effect within two seconds.
const FRESH_LIMIT: Duration = Duration::from_millis(1_250);
/// Interval at which the age is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum pause after a failed read.
const RETRY_MIN: Duration = Duration::from_millis(150);
/// Maximum pause after a failed read in a small fleet.
const RETRY_MAX: Duration = Duration::from_millis(800);
/// Number of VMs by which the maximum pause grows by one [`RETRY_MAX`].
const VMS_AT_RETRY_MAX: u32 = 10;

/// Mean interval between the reads of a table by all VMs of a large fleet while the store fails.
const FLEET_RETRY_INTERVAL: Duration = Duration::from_millis(16);

/// Polling of a table.
#[derive(Debug, Clone, Copy)]
pub struct PollTiming {
    /// Maximum time for which a long poll waits for records.
    pub wait: Duration,
    /// Pause between polls.
    pub interval: Duration,
}

/// Keeps a table current for the lifetime of the process.
pub async fn follow(context: Arc<GatewayContext>, table: FleetTable, timing: PollTiming) {
    let mut failures = 0;
    let mut must_reread = false;
    loop {
        settle_table(&context, table);
        if table == FleetTable::Statuses && context.view().services_with_open_move().is_empty() {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        if !must_reread && is_forwarded(&context, table) {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let began_at = BootTime::now();
        let next = context.tables.next(table).filter(|_| !must_reread);
        let result = match next {
            None => context.store.read_newest(table).await,
            Some(from) => context.store.read_from(table, from, timing.wait).await,
        };
        match result {
            Ok(batch) => {
                context.metrics.count_store_call("ok");
                if failures > 0 {
                    info!(%table, failures, "store: reachable again");
                    context.peers().note_store_success();
                    context.load_changes.notify_one();
                }
                must_reread = false;
                // In a large fleet, the tables take two hops, so none may wait for the next heartbeat.
                context.tables.set_wake_on_every_batch(context.peers().is_large());
                let is_applied =
                    apply_batch(&context, table, batch, next.is_none(), Duration::ZERO);
                if !is_applied {
                    // A late answer of an earlier era.
                    let pause = retry_pause(failures, context.view().vm_count, rand::random());
                    failures += 1;
                    tokio::time::sleep(pause).await;
                    continue;
                }
                failures = 0;
                if table == FleetTable::Orders {
                    context.freshness().note_store_read(began_at);
                }
                tokio::time::sleep(timing.interval).await;
            }
            Err(StoreError::Expired) => {
                context.metrics.count_store_call("expired");
                info!(%table, from = next.map(tracing::field::display), "store: records expired");
                must_reread = true;
            }
            Err(StoreError::OtherEra) if next.is_some() => {
                context.metrics.count_store_call("other_era");
                must_reread = true;
            }
            Err(error) => {
                note_failure(&context, table, &error, failures);
                let pause = retry_pause(failures, context.view().vm_count, rand::random());
                failures += 1;
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Returns the pause after a failed read that follows `failures` others, in a fleet of `vm_count`
/// VMs. In a large fleet, it is sufficient if any VM soon notices that the store is available again,
/// since it forwards the tables. `random`, from 0 to 1, spreads the VMs' reads.
pub fn retry_pause(failures: u32, vm_count: usize, random: f64) -> Duration {
    let vms = u32::try_from(vm_count).unwrap_or(u32::MAX);
    let longest = RETRY_MAX * (vms / VMS_AT_RETRY_MAX).max(1);
    let pause = (RETRY_MIN * 2_u32.saturating_pow(failures.min(4))).min(longest);
    if vm_count <= SMALL_FLEET {
        return pause;
    }
    let spread = FLEET_RETRY_INTERVAL * vms;
    // All VMs lose the store at the same moment, so the first pauses spread from zero on.
    let share = if failures == 0 { random } else { 0.5 + random };
    pause.max(spread.mul_f64(share))
}

/// Returns whether another VM reads the table and forwards it in time.
fn is_forwarded(context: &GatewayContext, table: FleetTable) -> bool {
    let is_fresh = context.tables.age(table).is_some_and(|age| age < FRESH_LIMIT);
    let is_confirmed =
        table != FleetTable::Orders || !context.freshness().needs_refresh(BootTime::now());
    is_fresh && is_confirmed && context.peers().store_reader(context.clock.now()).is_some()
}

fn note_failure(context: &GatewayContext, table: FleetTable, error: &StoreError, failures: u32) {
    let now = context.clock.now();
    context.metrics.count_store_call("failed");
    context.view().note_store_failure(now);
    context.peers().note_store_failure(now);
    if failures == 0 {
        warn!(%table, %error, "store: lost");
    }
}

/// Returns whether a record has the same content as the previous one of its key.
fn is_renewal(context: &GatewayContext, table: FleetTable, before: &Bytes, now: &Bytes) -> bool {
    if before == now {
        return true;
    }
    if table != FleetTable::Servers {
        return false;
    }
    let decode = |value| context.store.decode_server(value);
    matches!((decode(before), decode(now)), (Ok(before), Ok(now)) if before == now)
}

/// Applies records of a table from the store or from a peer, to the table and to the view. Returns
/// whether they were applied: those of an earlier era of the store are dropped, and those of a later
/// one unless they are a snapshot.
pub fn apply_batch(
    context: &GatewayContext,
    table: FleetTable,
    batch: TableBatch,
    is_snapshot: bool,
    age: Duration,
) -> bool {
    let _order = context.tables.lock_order();
    let (known, era) = (context.tables.next(table), batch.era);
    let delta = context.tables.apply(table, batch, is_snapshot, age, |before, now| {
        is_renewal(context, table, before, now)
    });
    let Some(delta) = delta else {
        info!(%table, era, known = known.map(tracing::field::display), "store: batch of another era");
        return false;
    };
    let is_new_era = known.is_none_or(|known| known.era != era);
    if is_new_era {
        begin_era(context, table, known, era);
    }
    apply_to_view(context, table, &delta);
    if is_new_era {
        settle_if_due(context, table);
    }
    true
}

/// Records that a table was first read in an era of the store. `known` is how far it was known in an
/// earlier one, if at all.
fn begin_era(context: &GatewayContext, table: FleetTable, known: Option<StorePosition>, era: u64) {
    if table == FleetTable::Orders {
        context.view().note_unsettled_era(Some(era));
    }
    let Some(known) = known else { return };
    warn!(%table, era, %known, "store: came back from an older copy");
    context.metrics.store_returns.inc();
    context.store_era.send_if_modified(|known| {
        let is_later = era > *known;
        *known = era.max(*known);
        is_later
    });
    // The store was away, also if this VM made no call meanwhile: servers whose registrations it
    // lacks may live.
    context.view().note_store_failure(context.clock.now());
}

/// Applies to the view what the store lacks since it came back from an older copy, once the writers
/// of the table had the time to write it again.
pub fn settle_table(context: &GatewayContext, table: FleetTable) {
    let _order = context.tables.lock_order();
    settle_if_due(context, table);
}

/// Does the same while the order of batches is locked.
fn settle_if_due(context: &GatewayContext, table: FleetTable) {
    let Some(batch) = context.tables.settle(table) else { return };
    if table == FleetTable::Orders {
        context.view().note_unsettled_era(None);
    }
    if !batch.records.is_empty() {
        apply_to_view(context, table, &batch);
    }
}

fn apply_to_view(context: &GatewayContext, table: FleetTable, delta: &TableBatch) {
    match table {
        FleetTable::Orders => order_updates::apply(context, delta),
        FleetTable::Servers => server_updates::apply(context, delta),
        FleetTable::Statuses => version_move_updates::apply(context, delta),
        FleetTable::Vms => {}
    }
}
