//! Decoded result of one read of the log.

use dragonflycart_core::LogOffset;
use dragonflycart_interfaces::{LogTopic, ReadBatch};
use dragonflycart_wire::RecordBatch;
use prost::Message;

/// Result of one read of a topic, with decoded appends.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct DecodedBatch {
    /// Topic.
    pub(crate) topic: LogTopic,
    /// First offset that the log still has.
    pub(crate) first_available: LogOffset,
    /// End of the log at the time of the read.
    pub(crate) end: LogOffset,
    /// Appends in the order of their offsets.
    pub(crate) appends: Vec<(LogOffset, RecordBatch)>,
}

impl DecodedBatch {
    /// Decodes the result of a read. A record that can't be decoded becomes an empty append, so
    /// that its offset counts as read.
    pub(crate) fn decode(topic: LogTopic, batch: ReadBatch) -> DecodedBatch {
        let mut appends = Vec::with_capacity(batch.records.len());
        for record in batch.records {
            let decoded = RecordBatch::decode(record.body).unwrap_or_default();
            appends.push((record.offset, decoded));
        }
        DecodedBatch { topic, first_available: batch.first_available, end: batch.end, appends }
    }

    /// Returns the offset up to which all records have been read.
    pub(crate) fn read_to(&self) -> LogOffset {
        self.appends.last().map_or(self.end, |(offset, _)| offset.next())
    }
}
