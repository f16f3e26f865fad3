//! Messages about deferred generations.

use bytes::Bytes;
use dragonflycart_core::{MonoTime, ServiceError};
use dragonflycart_state::CallKey;
use tokio::sync::oneshot;

/// What a caller is told about a deferred generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum JobAnswer {
    /// It is in the log and not done.
    Accepted,
    /// It is done; the body is the JSON answer.
    Done(Bytes),
    /// The caller gets this error.
    Refused(ServiceError),
}

/// Attempt of a deferred generation that this VM has to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct JobAttempt {
    /// Team and idempotency key.
    pub(crate) key: CallKey,
    /// Number of the attempt.
    pub(crate) attempt: u32,
    /// Request as kept in the log.
    pub(crate) request: Bytes,
}

/// Message about a deferred generation.
#[derive(Debug)]
pub(crate) enum JobMessage {
    /// Accept a job; answered when it is in the log.
    Accept {
        /// Team and idempotency key.
        key: CallKey,
        /// Request to keep in the log.
        request: Bytes,
        /// Time after which the caller is told that the outcome is not known.
        deadline: MonoTime,
        /// Answer.
        reply: oneshot::Sender<JobAnswer>,
    },
    /// Tell the state of a job.
    Fetch(CallKey, oneshot::Sender<JobAnswer>),
    /// An attempt of this VM ended with a result, or failed.
    Ended(CallKey, u32, Result<Bytes, ServiceError>),
}
