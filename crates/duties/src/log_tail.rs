//! End of the log of the lease.

use crate::DutyRecord;

/// End of the log as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogTail {
    /// Offset after the last record.
    pub end: u64,
    /// Last record. `None` if there is none, if it was deleted or if it can't be decoded.
    pub last: Option<DutyRecord>,
}
