//! Result of an append to the log of the lease.

/// Result of a conditional append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The record was appended at this offset.
    Appended {
        /// Offset of the record.
        offset: u64,
    },
    /// The log does not end at the expected offset.
    Conflict,
    /// There was no answer, or one that leaves open whether the append takes effect.
    Unknown,
}
