//! HTTP API for callers.

mod caller_api;
mod caller_context;
mod completion_request;
mod error_response;
mod event_body;
mod generation_handler;
mod health_handler;
mod http_server;
mod job_handler;
mod service_handler;

pub(crate) use self::{
    caller_api::CallerApi,
    caller_context::{CallerContext, bearer_token},
    completion_request::CompletionRequest,
    error_response::{ErrorResponse, error_json},
    event_body::event_body,
    http_server::HttpServer,
};
