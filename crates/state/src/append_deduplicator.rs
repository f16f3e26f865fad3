//! Detection of repeated appends.

use std::collections::BTreeMap;

use dragonflycart_core::{Incarnation, LogOffset};
use dragonflycart_wire::RecordBatch;

use crate::incarnation_from_wire;

/// Maximum number of remembered writers. At 67 restarts a day, 4,096 writers last two months.
const MAX_WRITERS: usize = 4_096;

/// Appends that a reader has seen, by the highest sequence number of each writer.
///
/// That number is enough because a writer numbers its appends and has only one in flight. A reader
/// that starts in the middle of the log misses earlier copies of an append; the ledgers and the
/// plan log therefore stay correct without this filter, which only saves them work.
#[derive(Debug, Clone, Default)]
pub struct AppendDeduplicator {
    writers: BTreeMap<Incarnation, (u64, LogOffset)>,
}

impl AppendDeduplicator {
    /// Returns whether the batch at `offset` is the first one with its writer and sequence number.
    pub fn accept(&mut self, offset: LogOffset, batch: &RecordBatch) -> bool {
        let writer = incarnation_from_wire(&batch.writer);
        let (highest, last_seen) = self.writers.entry(writer).or_insert((0, offset));
        *last_seen = offset;
        let first = batch.sequence > *highest;
        *highest = batch.sequence.max(*highest);
        self.evict_oldest();
        first
    }

    fn evict_oldest(&mut self) {
        if self.writers.len() <= MAX_WRITERS {
            return;
        }
        let oldest = self.writers.iter().min_by_key(|(_, (_, last_seen))| *last_seen);
        if let Some(writer) = oldest.map(|(writer, _)| *writer) {
            self.writers.remove(&writer);
        }
    }
}
