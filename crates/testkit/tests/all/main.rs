//! Tests of the HTTP clients against the fakes, and of the fakes themselves.

mod child_process;
mod engine_client;
mod engine_fake;
mod fixtures;
mod invalid_responses;
mod log_client;
mod platform_clients;
mod repeated_responses;
mod service_client;
mod unresponsive;
