//! Deferred generations (jobs). They are recorded in the log, and any VM can run them and return
//! their results.

mod job_message;
mod job_request;
mod job_worker;

pub(crate) use self::{
    job_message::{JobAttempt, JobMessage, JobResponse},
    job_request::JobRequest,
    job_worker::run_worker,
};
