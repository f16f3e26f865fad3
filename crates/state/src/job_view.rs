//! State of a job in the ledger.

use bytes::Bytes;
use dragonflycart_core::Incarnation;

/// State of a deferred generation as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobView {
    /// No record of the job is known.
    Unseen,
    /// No VM has claimed the job.
    Waiting,
    /// A VM has claimed the job.
    Claimed {
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Incarnation of the VM.
        worker: Incarnation,
    },
    /// The result is complete.
    Done {
        /// Attempt that produced it.
        attempt: u32,
        /// Result.
        body: Bytes,
    },
}
