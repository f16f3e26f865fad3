//! The append-only log service.

use std::time::Duration;

use bytes::Bytes;
use dragonflycart_core::LogOffset;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{BoxFuture, LogError};

/// Topic of the log service. Each topic has its own offsets.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LogTopic {
    /// Plan proposals and snapshots.
    Plan,
    /// Claims and outcomes of calls that are not idempotent.
    Calls,
    /// Rollbacks and ends of version moves.
    Moves,
    /// Accepted deferred generations and their results.
    Jobs,
}

/// One record as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the topic.
    pub offset: LogOffset,
    /// Record body.
    pub body: Bytes,
}

/// Result of one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadBatch {
    /// First offset that can still be read.
    pub first_available: LogOffset,
    /// Offset of the next record to be appended, as known when the read was answered. A reader
    /// that has reached it has seen every record acknowledged before the read.
    pub end: LogOffset,
    /// Records in order of their offsets.
    pub records: Vec<LogRecord>,
}

/// Append-only log with offsets, limited retention and outages.
pub trait LogService: Send + Sync {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`LogError::Unavailable`] and [`LogError::TooLarge`] mean that nothing was written;
    /// [`LogError::ResponseLost`] means that the record may have been written, also later.
    fn append(&self, topic: LogTopic, body: Bytes) -> BoxFuture<'_, Result<LogOffset, LogError>>;

    /// Reads records from offset `from`. Waits up to `wait` for a record if there is none.
    ///
    /// # Errors
    ///
    /// [`LogError::Expired`] if records from `from` on were already removed, otherwise
    /// [`LogError::Unavailable`].
    fn read(
        &self,
        topic: LogTopic,
        from: LogOffset,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadBatch, LogError>>;
}
