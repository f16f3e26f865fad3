//! Batches records into appends.

use std::{collections::VecDeque, time::Duration};

use dragonflycart_core::{Incarnation, LogOffset, MonoTime, WallTime};
use dragonflycart_wire::{LogEntry, RecordBatch};
use prost::Message;

use crate::{
    AppendRateLimiter, WriterError, WriterLimits, WriterStep, incarnation_from_wire,
    incarnation_to_wire,
};

/// Time before an append that the log service refused goes out again.
const REFUSAL_DELAY: Duration = Duration::from_millis(200);

/// Where the append in flight stands.
#[derive(Debug, Clone, PartialEq)]
enum FlightState {
    /// Goes out as soon as the time has come and the budget allows it.
    Ready(MonoTime),
    /// Its result is awaited.
    Sent,
    /// Its acknowledgement was lost; the log is read from this offset.
    Unknown(LogOffset),
}

/// Append that is not confirmed yet.
#[derive(Debug, Clone)]
struct FlightBatch {
    batch: RecordBatch,
    last_record: u64,
    state: FlightState,
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
    flight: Option<FlightBatch>,
    /// Offset before which no append of this writer is missing.
    known_end: LogOffset,
}

impl BatchWriter {
    /// Starts a writer; `end` is an offset at or before the end of the topic.
    pub fn new(writer: Incarnation, limits: WriterLimits, end: LogOffset) -> BatchWriter {
        BatchWriter {
            writer,
            limits,
            sequence: 0,
            buffered: VecDeque::new(),
            buffered_bytes: 0,
            pushed: 0,
            confirmed: 0,
            flight: None,
            known_end: end,
        }
    }

    /// Buffers a record and returns its number, from 1.
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

    /// Returns the next step. `wall` is the time written into the batch.
    pub fn poll(
        &mut self,
        budget: &mut AppendRateLimiter,
        now: MonoTime,
        wall: WallTime,
    ) -> WriterStep {
        if self.flight.is_none() {
            match self.batch_ready_at() {
                Some(ready_at) if ready_at <= now => self.form_batch(now, wall),
                wait => return WriterStep::Wait(wait),
            }
        }
        let Some(flight) = &mut self.flight else {
            return WriterStep::Wait(None);
        };
        match flight.state {
            FlightState::Sent => WriterStep::Wait(None),
            FlightState::Unknown(from) => WriterStep::LookFor(from),
            FlightState::Ready(at) if at > now => WriterStep::Wait(Some(at)),
            FlightState::Ready(_) => match budget.take(now) {
                Ok(()) => {
                    flight.state = FlightState::Sent;
                    WriterStep::Append(flight.batch.clone())
                }
                Err(at) => WriterStep::Wait(Some(at)),
            },
        }
    }

    /// Reports that the append in flight is at `offset`.
    pub fn appended(&mut self, sequence: u64, offset: LogOffset) {
        if self.in_flight() == Some(sequence) {
            self.confirm(offset);
        }
    }

    /// Reports that the log service refused the append in flight, so that nothing was written.
    pub fn refused(&mut self, sequence: u64, now: MonoTime) {
        let Some(flight) = self.flight_in(sequence, &FlightState::Sent) else {
            return;
        };
        flight.state = FlightState::Ready(now + REFUSAL_DELAY);
    }

    /// Reports that the acknowledgement was lost.
    pub fn answer_lost(&mut self, sequence: u64) {
        let from = self.known_end;
        let Some(flight) = self.flight_in(sequence, &FlightState::Sent) else {
            return;
        };
        flight.state = FlightState::Unknown(from);
    }

    /// Takes note of a batch read from the log. The readers of the topic pass every batch, so the
    /// append in flight is often confirmed before its acknowledgement arrives.
    pub fn observe(&mut self, offset: LogOffset, batch: &RecordBatch) {
        let own = incarnation_from_wire(&batch.writer) == self.writer;
        if own && self.in_flight() == Some(batch.sequence) {
            self.confirm(offset);
        }
        if self.flight.is_none() {
            self.known_end = self.known_end.max(offset.next());
        }
    }

    /// Reports that everything from the offset of `WriterStep::LookFor` up to `end` was passed to
    /// `observe`. If the append is still unknown it goes out again, with the same sequence: it may
    /// also be applied later, and readers drop the second one.
    pub fn read_to(&mut self, end: LogOffset, now: MonoTime) {
        let Some(flight) = &mut self.flight else {
            return;
        };
        let FlightState::Unknown(from) = flight.state else {
            return;
        };
        if end >= from {
            flight.state = FlightState::Ready(now);
        }
    }

    /// Returns the number of the last record that is in the log, together with all before it.
    pub fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Returns the sequence of the append in flight.
    pub fn in_flight(&self) -> Option<u64> {
        self.flight.as_ref().map(|flight| flight.batch.sequence)
    }

    /// Returns the bytes that wait for an append.
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
        self.flight = Some(FlightBatch { batch, last_record, state: FlightState::Ready(now) });
    }

    fn confirm(&mut self, offset: LogOffset) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        self.confirmed = flight.last_record;
        self.known_end = self.known_end.max(offset.next());
    }

    fn flight_in(&mut self, sequence: u64, state: &FlightState) -> Option<&mut FlightBatch> {
        self.flight
            .as_mut()
            .filter(|flight| flight.batch.sequence == sequence && flight.state == *state)
    }
}
