//! HTTP interface for callers.

mod caller_context;
mod completion_request;
mod completion_stream;
mod error_answer;
mod event_body;

pub(crate) use self::{
    caller_context::CallerContext,
    completion_request::CompletionRequest,
    error_answer::{ErrorAnswer, error_json},
};
