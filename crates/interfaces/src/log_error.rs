//! Failures of the log service.

use displaydoc::Display;
use dragonflycart_core::LogOffset;
use thiserror::Error;

/// Failure of an operation on the log service.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum LogError {
    /// the log service refused the operation; nothing was written
    Unavailable,
    /// the response of the log service was lost; the record may have been written
    ResponseLost,
    /// the record has {found} bytes, but the log service accepts at most {limit}
    TooLarge {
        /// Size of the record in bytes.
        found: usize,
        /// Largest accepted record in bytes.
        limit: usize,
    },
    /// the records at the offset were removed; the first available offset is {first_available:?}
    Expired {
        /// Offset of the first record that can still be read.
        first_available: LogOffset,
    },
}
