//! Buffered writers for the topics of the log service.

use std::collections::BTreeMap;

use bytes::Bytes;
use dragonflycart_core::{Incarnation, LogOffset, MonoTime, WallTime};
use dragonflycart_interfaces::{LogError, LogTopic};
use dragonflycart_state::{
    AppendRateLimiter, BatchWriter, WriterAction, WriterError, WriterLimits,
};
use dragonflycart_wire::{LogEntry, log_entry::Kind};
use log::warn;
use prost::Message;
use strum::IntoEnumIterator;
use tokio::sync::mpsc;

use crate::{
    control::decoded_batch::DecodedBatch,
    log_appender::{AppendRequest, AppendResult},
};

/// One writer per topic, with a common rate limit on appends.
pub(crate) struct AppendControl {
    writers: BTreeMap<LogTopic, BatchWriter>,
    rate_limiter: AppendRateLimiter,
    requests: mpsc::UnboundedSender<AppendRequest>,
}

impl AppendControl {
    /// Creates the writers for this run of the process.
    pub(crate) fn new(
        own: Incarnation,
        requests: mpsc::UnboundedSender<AppendRequest>,
    ) -> AppendControl {
        let mut writers = BTreeMap::new();
        for topic in LogTopic::iter() {
            writers.insert(topic, BatchWriter::new(own, WriterLimits::default(), LogOffset(0)));
        }
        AppendControl { writers, rate_limiter: AppendRateLimiter::new(), requests }
    }

    /// Buffers a record to be appended.
    ///
    /// # Errors
    ///
    /// [`WriterError`] if the record is too large or the buffer is full. Nothing is written then.
    pub(crate) fn push(
        &mut self,
        topic: LogTopic,
        kind: Kind,
        now: MonoTime,
    ) -> Result<(), WriterError> {
        let Some(writer) = self.writers.get_mut(&topic) else {
            return Err(WriterError::Full);
        };
        writer.push(LogEntry { kind: Some(kind) }, now).map(|_| ())
    }

    /// Requests the appends that are due.
    pub(crate) fn poll(&mut self, now: MonoTime, wall: WallTime) {
        for (topic, writer) in &mut self.writers {
            let WriterAction::Append(batch) = writer.poll(&mut self.rate_limiter, now, wall) else {
                continue;
            };
            let body = Bytes::from(batch.encode_to_vec());
            let request = AppendRequest { topic: *topic, sequence: batch.sequence, body };
            // The appender runs until the process exits, so this can't fail earlier.
            let _ = self.requests.send(request);
        }
    }

    /// Applies the result of an append.
    pub(crate) fn ended(&mut self, ended: AppendResult, now: MonoTime) {
        let Some(writer) = self.writers.get_mut(&ended.topic) else {
            return;
        };
        match ended.result {
            Ok(offset) => writer.appended(ended.sequence, offset),
            Err(LogError::ResponseLost) => writer.ack_lost(ended.sequence),
            Err(error) => {
                warn!("log: append was refused; topic={} error={error}", ended.topic);
                writer.refused(ended.sequence, now);
            }
        }
    }

    /// Applies what was read from the log, which confirms appends whose responses were lost.
    pub(crate) fn observe(&mut self, batch: &DecodedBatch, now: MonoTime) {
        let Some(writer) = self.writers.get_mut(&batch.topic) else {
            return;
        };
        for (offset, append) in &batch.appends {
            writer.observe(*offset, append);
        }
        writer.read_to(batch.read_to(), now);
    }

    /// Returns whether no record is buffered or in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.writers.values().all(|w| w.in_flight().is_none() && w.buffered_bytes() == 0)
    }
}
