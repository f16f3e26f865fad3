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

use crate::{FleetTable, TableBatch, TableDelta, TableMirror};

#[derive(Debug, Default)]
struct TableState {
    mirror: TableMirror,
    current_at: Option<Instant>,
}

/// Copies of all tables. Records received from a peer and records that this VM reads itself are
/// merged by offset, so that an older record never replaces a newer one.
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

    /// Applies records that were current `age` ago. Returns those that are new and not renewals.
    pub fn apply(
        &self,
        table: FleetTable,
        batch: TableBatch,
        is_snapshot: bool,
        age: Duration,
        is_renewal: impl Fn(&Bytes, &Bytes) -> bool,
    ) -> TableBatch {
        let now = Instant::now();
        let mut tables = self.lock();
        let state = tables.entry(table).or_default();
        let delta = state.mirror.apply(batch, is_snapshot, is_renewal);
        let current_at = now.checked_sub(age).unwrap_or(now);
        state.current_at = Some(state.current_at.map_or(current_at, |at| at.max(current_at)));
        drop(tables);
        // A VM that forwards tables also tells its subscribers at once that they are still current.
        if !delta.records.is_empty() || self.wakes_on_every_batch.load(Ordering::Relaxed) {
            self.changes.send_modify(|count| *count += 1);
        }
        delta
    }

    /// Returns the time since a table was last known to be current, or `None` if it was never read.
    pub fn age(&self, table: FleetTable) -> Option<Duration> {
        self.lock().get(&table)?.current_at.map(|at| at.elapsed())
    }

    /// Returns the offset after the last known record of a table, or `None` if it was never read.
    pub fn next(&self, table: FleetTable) -> Option<u64> {
        self.lock().get(&table)?.mirror.next()
    }

    /// Returns what a holder of a copy of a table up to offset `from` lacks, or one without a copy if
    /// there is no `from`. Returns `None` if the table was never read.
    pub fn since(&self, table: FleetTable, from: Option<u64>) -> Option<TableDelta> {
        let tables = self.lock();
        let state = tables.get(&table)?;
        state.mirror.next()?;
        Some(from.map_or_else(|| state.mirror.all(), |from| state.mirror.since(from)))
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
