//! Local copy of a table of the store.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::{TableBatch, TableDelta, TableRecord};

/// Maximum number of removed keys kept as tombstones, from which peers learn of the removal.
const REMOVED_LIMIT: usize = 512;

/// Newest record of a key.
#[derive(Debug, Clone)]
struct MirrorEntry {
    record: TableRecord,
    /// Offset of the record that last changed the content.
    changed_at: u64,
}

/// Newest record of each key up to some offset, in one era of the store. Records that only renew a key are not forwarded,
/// since servers renew their registrations constantly.
#[derive(Debug, Clone, Default)]
pub struct TableMirror {
    era: u64,
    entries: BTreeMap<String, MirrorEntry>,
    next: Option<u64>,
    /// Offset from which on all removals are known. A snapshot shows no removals before it, and old
    /// tombstones are dropped.
    removals_from: u64,
}

impl TableMirror {
    /// Builds an empty copy of a table in era `era` of the store.
    pub fn new(era: u64) -> TableMirror {
        TableMirror { era, ..TableMirror::default() }
    }

    /// Returns the era of the store to which all offsets belong.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Returns the keys that have a value.
    pub(crate) fn into_keys(self) -> impl Iterator<Item = String> {
        let held = self.entries.into_iter().filter(|(_, entry)| entry.record.value.is_some());
        held.map(|(key, _)| key)
    }

    /// Returns the offset after the last known record, or `None` if the table was never read.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Applies records. Returns those that are new and not renewals according to `is_renewal`,
    /// which is called with the old and the new value. If `is_snapshot` is set, keys that are
    /// missing from the batch were removed.
    pub fn apply(
        &mut self,
        batch: TableBatch,
        is_snapshot: bool,
        is_renewal: impl Fn(&Bytes, &Bytes) -> bool,
    ) -> TableBatch {
        let known_to = self.next.unwrap_or(0);
        let mut unknown = Vec::new();
        if is_snapshot && batch.next >= known_to {
            unknown = self.missing_records(&batch);
        }
        if is_snapshot && batch.next > known_to {
            // Keys that were added and removed since the last read are in no record.
            self.removals_from = batch.next;
        }
        let records = batch.records.into_iter().filter(|record| record.offset >= known_to);
        let missing = unknown.len();
        unknown.extend(records);
        // What a peer forwards leaves records out: a key that looks renewed may have been removed in
        // between, and a third VM may know only the removal.
        let is_complete = (unknown.len() - missing) as u64 == batch.next.saturating_sub(known_to);
        let shows_renewals = is_snapshot || is_complete;
        let is_renewal = |old: &Bytes, new: &Bytes| shows_renewals && is_renewal(old, new);
        let mut delta = Vec::new();
        for record in unknown {
            if self.insert(record.clone(), is_renewal) {
                delta.push(record);
            }
        }
        self.next = Some(known_to.max(batch.next));
        self.forget_removed();
        TableBatch { era: self.era, records: delta, next: batch.next }
    }

    /// Stores a record and returns whether it changes the content of its key.
    fn insert(&mut self, record: TableRecord, is_renewal: impl Fn(&Bytes, &Bytes) -> bool) -> bool {
        let old = self.entries.get(&record.key);
        let renewed_since = old.and_then(|old| match (&old.record.value, &record.value) {
            (Some(before), Some(now)) if is_renewal(before, now) => Some(old.changed_at),
            _ => None,
        });
        let changed_at = renewed_since.unwrap_or(record.offset);
        self.entries.insert(record.key.clone(), MirrorEntry { record, changed_at });
        renewed_since.is_none()
    }

    /// Returns tombstones for the keys that are missing from a snapshot.
    fn missing_records(&self, batch: &TableBatch) -> Vec<TableRecord> {
        let offset = batch.next.saturating_sub(1);
        let held: BTreeSet<&str> = batch.records.iter().map(|record| record.key.as_str()).collect();
        let mut missing = Vec::new();
        for (key, MirrorEntry { record, .. }) in &self.entries {
            if !held.contains(key.as_str()) && record.value.is_some() && record.offset < batch.next
            {
                missing.push(TableRecord { offset, key: key.clone(), value: None });
            }
        }
        missing
    }

    /// Returns what a holder of a copy up to offset `from` lacks: the newest records of the keys that
    /// changed since, or all records if a removal since may be unknown.
    pub fn since(&self, from: u64) -> TableDelta {
        if from < self.removals_from {
            return self.all();
        }
        let changed = self.entries.values().filter(|entry| entry.changed_at >= from);
        self.delta(changed, false)
    }

    /// Returns all records.
    pub fn all(&self) -> TableDelta {
        self.delta(self.entries.values().filter(|entry| entry.record.value.is_some()), true)
    }

    fn delta<'a>(
        &self,
        entries: impl Iterator<Item = &'a MirrorEntry>,
        is_whole: bool,
    ) -> TableDelta {
        let mut records: Vec<TableRecord> = entries.map(|entry| entry.record.clone()).collect();
        records.sort_by_key(|record| record.offset);
        TableDelta { era: self.era, records, next: self.next.unwrap_or(0), is_whole }
    }

    /// Removes the oldest tombstones if there are too many.
    fn forget_removed(&mut self) {
        let mut removed: Vec<(u64, String)> = self
            .entries
            .values()
            .filter(|entry| entry.record.value.is_none())
            .map(|entry| (entry.record.offset, entry.record.key.clone()))
            .collect();
        if removed.len() <= REMOVED_LIMIT {
            return;
        }
        removed.sort();
        for (offset, key) in &removed[..removed.len() - REMOVED_LIMIT / 2] {
            self.entries.remove(key);
            self.removals_from = self.removals_from.max(offset + 1);
        }
    }
}
