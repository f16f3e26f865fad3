//! Copy of a table in the store's current era.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;

use crate::{FleetTable, StorePosition, TableBatch, TableMirror, TableRecord};

/// Time in which operators write again what the store lost with an era. Until then, a key that it
/// lacks stays in force: an evacuation that is kept too long costs less than one that is broken.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// Copy of a table, with its age. A snapshot of a later era replaces the copy of an earlier one.
#[derive(Debug, Default)]
pub(crate) struct TableState {
    mirror: TableMirror,
    current_at: Option<Instant>,
    /// Time at which the era was first seen, until what it lacks has taken effect.
    unsettled_since: Option<Instant>,
    /// Whether an earlier era was known before it.
    had_earlier_era: bool,
    /// Keys of earlier eras that the store lacks in this one.
    lost: BTreeSet<String>,
}

impl TableState {
    /// Returns the copy.
    pub(crate) fn mirror(&self) -> &TableMirror {
        &self.mirror
    }

    /// Returns the position after the last known record, or `None` if the table was never read.
    pub(crate) fn next(&self) -> Option<StorePosition> {
        self.mirror.next().map(|offset| StorePosition::new(self.mirror.era(), offset))
    }

    /// Returns the time since the table was last known to be current, or `None` if it was never read.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.current_at.map(|at| at.elapsed())
    }

    /// Applies records that were current at `current_at`. Returns those that are new and not renewals,
    /// or `None` if the batch can't be applied: it is of an earlier era, or of a later one and not a
    /// snapshot.
    pub(crate) fn apply(
        &mut self,
        batch: TableBatch,
        is_snapshot: bool,
        current_at: Instant,
        is_renewal: impl Fn(&Bytes, &Bytes) -> bool,
    ) -> Option<TableBatch> {
        let is_first = self.mirror.next().is_none();
        if !is_first && batch.era < self.mirror.era() {
            return None;
        }
        let is_later = batch.era > self.mirror.era();
        if is_later && !is_first && !is_snapshot {
            return None;
        }
        if is_first || is_later {
            self.begin_era(&batch);
        }
        let is_unsettled = self.unsettled_since.is_some();
        // A record that was written again has another position, which must become known.
        let is_renewal = |before: &Bytes, now: &Bytes| !is_unsettled && is_renewal(before, now);
        let delta = self.mirror.apply(batch, is_snapshot, is_renewal);
        for record in &delta.records {
            self.lost.remove(&record.key);
        }
        self.current_at = Some(self.current_at.map_or(current_at, |at| at.max(current_at)));
        Some(delta)
    }

    /// Replaces the copy by an empty one of the era of a snapshot, and notes the keys that it lacks.
    fn begin_era(&mut self, batch: &TableBatch) {
        let known = std::mem::replace(&mut self.mirror, TableMirror::new(batch.era));
        self.had_earlier_era = known.next().is_some();
        self.lost.extend(known.into_keys());
        for record in &batch.records {
            self.lost.remove(&record.key);
        }
        self.unsettled_since = Some(Instant::now());
    }

    /// Ends the time in which the writers of `table` may write again what the store lost, if it is
    /// over, and returns what is to be applied then: all records, and the removals of the keys that
    /// the store lacks. Returns no records if no earlier era was known.
    pub(crate) fn settle(&mut self, table: FleetTable) -> Option<TableBatch> {
        self.unsettled_since.filter(|since| since.elapsed() >= rewrite_time(table))?;
        self.unsettled_since = None;
        let delta = self.mirror.all();
        let mut records = if self.had_earlier_era { delta.records } else { Vec::new() };
        for key in std::mem::take(&mut self.lost) {
            let offset = delta.next.saturating_sub(1);
            records.push(TableRecord { offset, key, value: None });
        }
        Some(TableBatch { era: delta.era, records, next: delta.next })
    }
}

/// Returns the time in which the writers of a table write again what the store lost. That of servers
/// is counted where their registrations expire.
fn rewrite_time(table: FleetTable) -> Duration {
    match table {
        FleetTable::Orders => REWRITE_TIME,
        FleetTable::Servers | FleetTable::Statuses | FleetTable::Vms => Duration::ZERO,
    }
}
