//! Interface to the append-only log service.

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
    /// Claims and outcomes of non-idempotent calls.
    Calls,
    /// Completions and rollbacks of version moves.
    Moves,
    /// Accepted jobs, which are deferred generations, and their results.
    Jobs,
}

/// Record of the log.
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
    /// Offset of the first record that can still be read.
    pub first_available: LogOffset,
    /// Offset after the last record of the topic at the time of the read. A reader that has
    /// reached it has seen every record that was acknowledged before the read.
    pub end: LogOffset,
    /// Records in order of their offsets.
    pub records: Vec<LogRecord>,
}

/// Append-only log. Records are kept for a limited time, and the service may be unavailable.
pub trait LogService: Send + Sync {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`LogError::Unavailable`] and [`LogError::TooLarge`] mean that nothing was written;
    /// [`LogError::ResponseLost`] means that the record may have been written or may still be
    /// written later.
    fn append(&self, topic: LogTopic, body: Bytes) -> BoxFuture<'_, Result<LogOffset, LogError>>;

    /// Reads records from offset `from` on. If there are none, waits up to `wait` for one.
    ///
    /// # Errors
    ///
    /// [`LogError::Expired`] if the record at `from` was already removed, otherwise
    /// [`LogError::Unavailable`].
    fn read(
        &self,
        topic: LogTopic,
        from: LogOffset,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadBatch, LogError>>;
}
