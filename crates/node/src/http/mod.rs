//! HTTP interface for callers.

mod caller_context;
mod completion_request;
mod error_answer;
mod event_body;
mod generation_handler;
mod health_handler;
mod http_front;
mod http_server;
mod job_handler;
mod service_handler;

pub(crate) use self::{
    caller_context::{CallerContext, bearer},
    completion_request::CompletionRequest,
    error_answer::{ErrorResponse, error_json},
    event_body::event_body,
    http_front::HttpFront,
    http_server::HttpServer,
};
