//! What the owner of a lease state machine has to do next.

use crate::DutyRecord;

/// Next call to the store. At most one is open at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing to do now.
    Wait,
    /// Read the end of the log and its last record. Records before `from` are known.
    Read {
        /// First offset of interest.
        from: u64,
    },
    /// Append the record if the log ends at offset `at`.
    Append {
        /// Expected end of the log.
        at: u64,
        /// Record to append.
        record: DutyRecord,
    },
}
