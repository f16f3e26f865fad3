//! Batching of records into appends.

use std::{collections::VecDeque, time::Duration};

use dragonflycart_core::{Incarnation, LogOffset, MonoTime, WallTime};
use dragonflycart_wire::{LogEntry, RecordBatch};
use prost::Message;

use crate::{
    AppendRateLimiter, WriterAction, WriterError, WriterLimits, incarnation_from_wire,
    incarnation_to_wire,
};

/// Delay before an append that the log service refused is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// State of the append in flight.
#[derive(Debug, Clone, PartialEq)]
enum AppendState {
    /// It is sent at this time, or later if the rate limit requires it.
    Ready(MonoTime),
    /// It was sent and its result is not known yet.
    Sent,
    /// Its acknowledgement was lost; the log has to be read from this offset to find it.
    Unknown(LogOffset),
}

/// Append that is not confirmed yet.
#[derive(Debug, Clone)]
struct UnconfirmedAppend {
    batch: RecordBatch,
    last_record: u64,
    state: AppendState,
}

/// Writer of one topic. One append is in flight at a time, so that the records of one VM reach
/// the log in the order in which they were pushed.
#[derive(Debug, Clone)]
pub struct BatchWriter {
    writer: Incarnation,
    limits: WriterLimits,
    sequence: u64,
    buffered: VecDeque<(MonoTime, usize, LogEntry)>,
    buffered_bytes: usize,
    pushed: u64,
    confirmed: u64,
    unconfirmed: Option<UnconfirmedAppend>,
    /// Offset before which no append of this writer is missing.
    known_end: LogOffset,
}

impl BatchWriter {
    /// Creates a writer. `end` is an offset at or before the end of the topic.
    pub fn new(writer: Incarnation, limits: WriterLimits, end: LogOffset) -> BatchWriter {
        BatchWriter {
            writer,
            limits,
            sequence: 0,
            buffered: VecDeque::new(),
            buffered_bytes: 0,
            pushed: 0,
            confirmed: 0,
            unconfirmed: None,
            known_end: end,
        }
    }

    /// Buffers a record and returns its number, counted from 1.
    ///
    /// # Errors
    ///
    /// Returns a [`WriterError`] if the record is too large or the buffer is full.
    pub fn push(&mut self, entry: LogEntry, now: MonoTime) -> Result<u64, WriterError> {
        let found = entry.encoded_len();
        let limit = self.limits.batch_bytes;
        if found > limit {
            return Err(WriterError::TooLarge { found, limit });
        }
        if self.buffered_bytes + found > self.limits.buffer_bytes {
            return Err(WriterError::Full);
        }
        self.buffered.push_back((now, found, entry));
        self.buffered_bytes += found;
        self.pushed += 1;
        Ok(self.pushed)
    }

    /// Returns the next step. `wall` is the time that is written into the batch.
    pub fn poll(
        &mut self,
        rate_limiter: &mut AppendRateLimiter,
        now: MonoTime,
        wall: WallTime,
    ) -> WriterAction {
        if self.unconfirmed.is_none() {
            match self.batch_ready_at() {
                Some(ready_at) if ready_at <= now => self.form_batch(now, wall),
                wait => return WriterAction::Wait(wait),
            }
        }
        let Some(unconfirmed) = &mut self.unconfirmed else {
            return WriterAction::Wait(None);
        };
        match unconfirmed.state {
            AppendState::Sent => WriterAction::Wait(None),
            AppendState::Unknown(from) => WriterAction::ReadFrom(from),
            AppendState::Ready(at) if at > now => WriterAction::Wait(Some(at)),
            AppendState::Ready(_) => match rate_limiter.take(now) {
                Ok(()) => {
                    unconfirmed.state = AppendState::Sent;
                    WriterAction::Append(unconfirmed.batch.clone())
                }
                Err(at) => WriterAction::Wait(Some(at)),
            },
        }
    }

    /// Reports that the append in flight was written at `offset`.
    pub fn appended(&mut self, sequence: u64, offset: LogOffset) {
        if self.in_flight() == Some(sequence) {
            self.confirm(offset);
        }
    }

    /// Reports that the log service refused the append in flight and wrote nothing.
    pub fn refused(&mut self, sequence: u64, now: MonoTime) {
        let Some(unconfirmed) = self.unconfirmed_in(sequence, &AppendState::Sent) else {
            return;
        };
        unconfirmed.state = AppendState::Ready(now + RETRY_DELAY);
    }

    /// Reports that the acknowledgement of the append in flight was lost.
    pub fn ack_lost(&mut self, sequence: u64) {
        let from = self.known_end;
        let Some(unconfirmed) = self.unconfirmed_in(sequence, &AppendState::Sent) else {
            return;
        };
        unconfirmed.state = AppendState::Unknown(from);
    }

    /// Applies a batch read from the log. The caller passes every batch of the topic, so the append
    /// in flight is often confirmed before its acknowledgement arrives.
    pub fn observe(&mut self, offset: LogOffset, batch: &RecordBatch) {
        let own = incarnation_from_wire(&batch.writer) == self.writer;
        if own && self.in_flight() == Some(batch.sequence) {
            self.confirm(offset);
        }
        if self.unconfirmed.is_none() {
            self.known_end = self.known_end.max(offset.next());
        }
    }

    /// Reports that all batches from the offset of `WriterAction::ReadFrom` up to `end` were passed
    /// to `observe`. If the append was not among them, it is sent again with the same sequence
    /// number: the first one may still be applied later, and readers drop the second.
    pub fn read_to(&mut self, end: LogOffset, now: MonoTime) {
        let Some(unconfirmed) = &mut self.unconfirmed else {
            return;
        };
        let AppendState::Unknown(from) = unconfirmed.state else {
            return;
        };
        if end >= from {
            unconfirmed.state = AppendState::Ready(now);
        }
    }

    /// Returns the number of the last record that is in the log. All records before it are too.
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Returns the sequence number of the append in flight.
    pub fn in_flight(&self) -> Option<u64> {
        self.unconfirmed.as_ref().map(|unconfirmed| unconfirmed.batch.sequence)
    }

    /// Returns the size of the buffered records in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    fn batch_ready_at(&self) -> Option<MonoTime> {
        let (pushed_at, ..) = self.buffered.front()?;
        if self.buffered_bytes >= self.limits.batch_bytes {
            return Some(*pushed_at);
        }
        Some(*pushed_at + self.limits.linger)
    }

    fn form_batch(&mut self, now: MonoTime, wall: WallTime) {
        let mut entries = Vec::new();
        let mut size = 0;
        while let Some((_, bytes, _)) = self.buffered.front() {
            size += bytes;
            if size > self.limits.batch_bytes && !entries.is_empty() {
                break;
            }
            let Some((_, bytes, entry)) = self.buffered.pop_front() else {
                break;
            };
            self.buffered_bytes -= bytes;
            entries.push(entry);
        }
        self.sequence += 1;
        let last_record = self.pushed - self.buffered.len() as u64;
        let batch = RecordBatch {
            writer: incarnation_to_wire(self.writer),
            sequence: self.sequence,
            written_at_ms: wall.as_unix_millis(),
            entries,
        };
        self.unconfirmed =
            Some(UnconfirmedAppend { batch, last_record, state: AppendState::Ready(now) });
    }

    fn confirm(&mut self, offset: LogOffset) {
        let Some(unconfirmed) = self.unconfirmed.take() else {
            return;
        };
        self.confirmed = unconfirmed.last_record;
        self.known_end = self.known_end.max(offset.next());
    }

    fn unconfirmed_in(
        &mut self,
        sequence: u64,
        state: &AppendState,
    ) -> Option<&mut UnconfirmedAppend> {
        self.unconfirmed.as_mut().filter(|unconfirmed| {
            unconfirmed.batch.sequence == sequence && unconfirmed.state == *state
        })
    }
}
