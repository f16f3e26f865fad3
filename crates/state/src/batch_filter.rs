//! Drops repeated appends.

use std::collections::BTreeMap;

use dragonflycart_core::{Incarnation, LogOffset};
use dragonflycart_wire::RecordBatch;

use crate::incarnation_from_wire;

/// Writers that are remembered. 67 restarts a day make 4,096 writers two months.
const WRITERS_KEPT: usize = 4_096;

/// Reader's memory of the appends it has seen.
///
/// A writer has one append in flight and numbers them, so the highest sequence per writer is
/// enough. A reader that starts in the middle of the log does not know earlier copies; the folds
/// of this package therefore don't rely on the filter, it only spares them work.
#[derive(Debug, Clone, Default)]
pub struct BatchFilter {
    writers: BTreeMap<Incarnation, (u64, LogOffset)>,
}

impl BatchFilter {
    /// Returns whether the batch at `offset` is the first with its writer and sequence.
    pub fn accept(&mut self, offset: LogOffset, batch: &RecordBatch) -> bool {
        let writer = incarnation_from_wire(&batch.writer);
        let (highest, last_seen) = self.writers.entry(writer).or_insert((0, offset));
        *last_seen = offset;
        let first = batch.sequence > *highest;
        *highest = batch.sequence.max(*highest);
        self.forget_oldest();
        first
    }

    fn forget_oldest(&mut self) {
        if self.writers.len() <= WRITERS_KEPT {
            return;
        }
        let oldest = self.writers.iter().min_by_key(|(_, (_, last_seen))| *last_seen);
        if let Some(writer) = oldest.map(|(writer, _)| *writer) {
            self.writers.remove(&writer);
        }
    }
}
