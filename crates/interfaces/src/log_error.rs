//! Failures of the log service.

use displaydoc::Display;
use dragonflycart_core::LogOffset;
use thiserror::Error;

/// Failure of an operation on the log service.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum LogError {
    /// the log service refused the operation; nothing was written
    Unavailable,
    /// the answer of the log service was lost; the record may have been written
    ResponseLost,
    /// the record has {found} bytes, the log service accepts {limit}
    TooLarge {
        /// Size of the record in bytes.
        found: usize,
        /// Largest accepted record in bytes.
        limit: usize,
    },
    /// the offset is below the first record still kept, {first_available:?}
    Expired {
        /// First offset that can still be read.
        first_available: LogOffset,
    },
}
