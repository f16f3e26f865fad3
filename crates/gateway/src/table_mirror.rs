//! Copy of a table of the store.

use std::collections::BTreeMap;

use crate::{TableBatch, TableRecord};

/// Removed keys that are remembered, so that peers learn of the removal.
const REMOVED_LIMIT: usize = 512;

/// Newest record of each key up to some offset.
#[derive(Debug, Clone, Default)]
pub struct TableMirror {
    records: BTreeMap<String, TableRecord>,
    next: Option<u64>,
}

impl TableMirror {
    /// Returns the offset up to which the mirror is complete, or `None` if it is empty.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// Takes records and returns those that were not known. With `is_whole`, keys that are not
    /// among them were removed.
    pub fn take(&mut self, batch: TableBatch, is_whole: bool) -> TableBatch {
        let known_to = self.next.unwrap_or(0);
        let mut news = Vec::new();
        if is_whole && batch.next >= known_to {
            news = self.missing_records(&batch);
        }
        let records = batch.records.into_iter().filter(|record| record.offset >= known_to);
        news.extend(records);
        for record in &news {
            self.records.insert(record.key.clone(), record.clone());
        }
        self.next = Some(known_to.max(batch.next));
        self.forget_removed();
        TableBatch { records: news, next: batch.next }
    }

    /// Returns removals for the keys that a whole batch does not hold.
    fn missing_records(&self, batch: &TableBatch) -> Vec<TableRecord> {
        let offset = batch.next.saturating_sub(1);
        let mut missing = Vec::new();
        for (key, record) in &self.records {
            let is_held = batch.records.iter().any(|held| held.key == *key);
            if !is_held && record.value.is_some() && record.offset < batch.next {
                missing.push(TableRecord { offset, key: key.clone(), value: None });
            }
        }
        missing
    }

    /// Returns the newest records from offset `from` on, in the order of their offsets.
    pub fn since(&self, from: u64) -> TableBatch {
        let mut records: Vec<TableRecord> =
            self.records.values().filter(|record| record.offset >= from).cloned().collect();
        records.sort_by_key(|record| record.offset);
        TableBatch { records, next: self.next.unwrap_or(0) }
    }

    /// Forgets the oldest removals beyond the limit.
    fn forget_removed(&mut self) {
        let mut removed: Vec<(u64, String)> = self
            .records
            .values()
            .filter(|record| record.value.is_none())
            .map(|record| (record.offset, record.key.clone()))
            .collect();
        if removed.len() <= REMOVED_LIMIT {
            return;
        }
        removed.sort();
        for (_, key) in &removed[..removed.len() - REMOVED_LIMIT / 2] {
            self.records.remove(key);
        }
    }
}
