//! Messages about deferred generations.

use bytes::Bytes;
use dragonflycart_core::{MonoTime, ServiceError};
use dragonflycart_state::CallKey;
use tokio::sync::oneshot;

/// State of a deferred generation, as returned to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum JobResponse {
    /// It is recorded in the log and has not finished.
    Accepted,
    /// It has finished; these bytes are the JSON response body.
    Done(Bytes),
    /// The caller must get this error.
    Refused(ServiceError),
}

/// An attempt of a deferred generation that this VM must run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct JobAttempt {
    /// Team and idempotency key.
    pub(crate) key: CallKey,
    /// Number of the attempt.
    pub(crate) attempt: u32,
    /// Request as stored in the log.
    pub(crate) request: Bytes,
}

/// Message to the control thread about a deferred generation.
#[derive(Debug)]
pub(crate) enum JobMessage {
    /// Accept a job. The reply is sent once the job is in the log.
    Accept {
        /// Team and idempotency key.
        key: CallKey,
        /// Request to store in the log.
        request: Bytes,
        /// Time after which the caller is told that the outcome is unknown.
        deadline: MonoTime,
        /// Channel for the reply.
        reply: oneshot::Sender<JobResponse>,
    },
    /// Read the state of a job.
    Fetch(CallKey, oneshot::Sender<JobResponse>),
    /// An attempt of this VM has ended, with the JSON response body or an error.
    Ended(CallKey, u32, Result<Bytes, ServiceError>),
}
