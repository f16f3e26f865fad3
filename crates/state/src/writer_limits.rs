//! Limits of a batch writer.

use std::time::Duration;

/// Limits of a batch writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriterLimits {
    /// Maximum time for which a record waits for others to share its append.
    pub linger: Duration,
    /// Maximum size of the records of a batch in bytes. It has to be below the limit of the log
    /// service, because an append that the log service finds too large is never accepted.
    pub batch_bytes: usize,
    /// Size of the buffer in bytes. When it is full, callers are told that the log is unavailable.
    pub buffer_bytes: usize,
}

impl Default for WriterLimits {
    fn default() -> WriterLimits {
        WriterLimits {
            linger: Duration::from_millis(10),
            batch_bytes: 256 << 10,
            buffer_bytes: 4 << 20,
        }
    }
}
