//! Errors of a batch writer.

use displaydoc::Display;
use thiserror::Error;

/// Error returned when a record can't be buffered. Nothing was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum WriterError {
    /// the record has {found} bytes, an append takes {limit}
    TooLarge {
        /// Size of the record in bytes.
        found: usize,
        /// Largest record in bytes.
        limit: usize,
    },
    /// the append buffer is full because the log service is slow or down
    Full,
}
