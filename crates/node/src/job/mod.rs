//! Deferred generations: accepted in the log, run by any VM, fetched through any VM.

mod job_message;
mod job_request;
mod job_worker;

pub(crate) use self::{
    job_message::{JobAnswer, JobAttempt, JobMessage},
    job_request::JobRequest,
    job_worker::run_worker,
};
