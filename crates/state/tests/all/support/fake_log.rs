//! Fake log of one topic, with the faults of the log service.

use dragonflycart_core::{LogOffset, MonoTime, WallTime};
use dragonflycart_state::{AppendRateLimiter, BatchWriter, WriterAction};
use dragonflycart_wire::RecordBatch;
use proptest::prelude::*;

/// What happens to one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFault {
    /// It is applied and acknowledged.
    Acked,
    /// It is applied; the acknowledgement is lost.
    AckLost,
    /// The acknowledgement is lost; it may be applied later.
    Delayed,
    /// It is refused and never applied.
    Refused,
}

/// Generates the result of an append.
pub fn any_fault() -> impl Strategy<Value = AppendFault> {
    prop_oneof![
        5 => Just(AppendFault::Acked),
        1 => Just(AppendFault::AckLost),
        2 => Just(AppendFault::Delayed),
        1 => Just(AppendFault::Refused),
    ]
}

/// Log of one topic. Removed records stay visible to the test.
#[derive(Debug, Default)]
pub struct FakeLog {
    records: Vec<RecordBatch>,
    first_available: usize,
    delayed: Vec<RecordBatch>,
}

impl FakeLog {
    /// Returns the first offset that can be read.
    pub fn first_available(&self) -> LogOffset {
        LogOffset(self.first_available as u64)
    }

    /// Returns the offset of the next record.
    pub fn end(&self) -> LogOffset {
        LogOffset(self.records.len() as u64)
    }

    /// Returns all records that were ever applied.
    pub fn all(&self) -> impl Iterator<Item = (LogOffset, &RecordBatch)> {
        self.records.iter().enumerate().map(|(index, batch)| (LogOffset(index as u64), batch))
    }

    /// Returns up to `count` records from `from` on that can be read.
    pub fn read(&self, from: LogOffset, count: usize) -> Vec<(LogOffset, RecordBatch)> {
        let from = from.max(self.first_available());
        let records = self.all().skip(from.0 as usize).take(count);
        records.map(|(offset, batch)| (offset, batch.clone())).collect()
    }

    /// Applies a record.
    pub fn push(&mut self, batch: RecordBatch) -> LogOffset {
        self.records.push(batch);
        LogOffset(self.records.len() as u64 - 1)
    }

    /// Applies one of the delayed records; it may be applied again afterwards.
    pub fn apply_delayed(&mut self, index: usize, again: bool) {
        if self.delayed.is_empty() {
            return;
        }
        let index = index % self.delayed.len();
        let batch = self.delayed[index].clone();
        if !again {
            self.delayed.remove(index);
        }
        self.push(batch);
    }

    /// Removes up to `count` records from the start.
    pub fn truncate(&mut self, count: usize) {
        self.first_available = (self.first_available + count).min(self.records.len());
    }

    /// Carries out the next step of a writer.
    pub fn serve(
        &mut self,
        writer: &mut BatchWriter,
        rate_limiter: &mut AppendRateLimiter,
        fault: AppendFault,
        now: MonoTime,
    ) {
        match writer.poll(rate_limiter, now, WallTime::default()) {
            WriterAction::Wait(_) => {}
            WriterAction::ReadFrom(from) => {
                if fault == AppendFault::Refused {
                    return;
                }
                for (offset, batch) in self.read(from, usize::MAX) {
                    writer.observe(offset, &batch);
                }
                writer.read_to(self.end(), now);
            }
            WriterAction::Append(batch) => self.append(writer, batch, fault, now),
        }
    }

    fn append(
        &mut self,
        writer: &mut BatchWriter,
        batch: RecordBatch,
        fault: AppendFault,
        now: MonoTime,
    ) {
        let sequence = batch.sequence;
        match fault {
            AppendFault::Acked => {
                let offset = self.push(batch);
                writer.appended(sequence, offset);
            }
            AppendFault::AckLost => {
                self.push(batch);
                writer.ack_lost(sequence);
            }
            AppendFault::Delayed => {
                self.delayed.push(batch);
                writer.ack_lost(sequence);
            }
            AppendFault::Refused => writer.refused(sequence, now),
        }
    }
}
