//! Local copies of the store's tables, with their age.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{sync::watch, time::Instant};

use crate::{FleetTable, StorePosition, TableBatch, TableDelta, tables::TableState};

/// Copies of all tables. Records received from a peer and records that this VM reads itself are
/// merged by position, so that an older record never replaces a newer one.
#[derive(Debug, Default)]
pub struct FleetTables {
    tables: Mutex<BTreeMap<FleetTable, TableState>>,
    order: Mutex<()>,
    changes: watch::Sender<u64>,
    wakes_on_every_batch: AtomicBool,
}

impl FleetTables {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<FleetTable, TableState>> {
        self.tables.lock().expect("no holder of the tables' lock panics")
    }

    /// Locks the order of batches. Hold the lock from the change of a table until what depends on it
    /// has changed as well: records that are read from the store and others that a peer forwards
    /// arrive in parallel, and an older one must not take effect after a newer one.
    pub fn lock_order(&self) -> MutexGuard<'_, ()> {
        self.order.lock().expect("no holder of the order's lock panics")
    }

    /// Applies records that were current `age` ago. Returns those that are new and not renewals, or
    /// `None` if the batch is of an earlier era of the store, or of a later one and not a snapshot.
    pub fn apply(
        &self,
        table: FleetTable,
        batch: TableBatch,
        is_snapshot: bool,
        age: Duration,
        is_renewal: impl Fn(&Bytes, &Bytes) -> bool,
    ) -> Option<TableBatch> {
        let now = Instant::now();
        let mut tables = self.lock();
        let state = tables.entry(table).or_default();
        let current_at = now.checked_sub(age).unwrap_or(now);
        let delta = state.apply(batch, is_snapshot, current_at, is_renewal)?;
        drop(tables);
        // A VM that forwards tables also tells its subscribers at once that they are still current.
        if !delta.records.is_empty() || self.wakes_on_every_batch.load(Ordering::Relaxed) {
            self.changes.send_modify(|count| *count += 1);
        }
        Some(delta)
    }

    /// Returns the time since a table was last known to be current, or `None` if it was never read.
    pub fn age(&self, table: FleetTable) -> Option<Duration> {
        self.lock().get(&table)?.age()
    }

    /// Returns the position after the last known record of a table, or `None` if it was never read.
    pub fn next(&self, table: FleetTable) -> Option<StorePosition> {
        self.lock().get(&table)?.next()
    }

    /// Ends the time in which the writers of a table may write again what the store lost, if it is
    /// over, and returns what is to be applied then: all records, and the removals of the keys that
    /// the store lacks. Returns no records if no earlier era was known.
    pub fn settle(&self, table: FleetTable) -> Option<TableBatch> {
        self.lock().get_mut(&table)?.settle(table)
    }

    /// Returns what a holder of a copy of a table up to `from` lacks: the whole table if the copy is of
    /// another era of the store, or if there is none. Returns `None` if the table was never read.
    pub fn since(&self, table: FleetTable, from: Option<StorePosition>) -> Option<TableDelta> {
        let tables = self.lock();
        let mirror = tables.get(&table)?.mirror();
        mirror.next()?;
        let from = from.filter(|from| from.era == mirror.era());
        Some(from.map_or_else(|| mirror.all(), |from| mirror.since(from.offset)))
    }

    /// Sets whether subscribers are notified of every batch, including those without new records.
    pub fn set_wake_on_every_batch(&self, enabled: bool) {
        self.wakes_on_every_batch.store(enabled, Ordering::Relaxed);
    }

    /// Subscribes to changes of any table.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
