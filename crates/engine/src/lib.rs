//! Interfaces to backend servers: engines, which generate tokens, and plain services.
//!
//! Callers depend on the traits; the implementations speak the HTTP protocol of [`protocol`].

mod cache_event;
mod call_failure;
mod cancel_outcome;
mod engine_client;
mod engine_contact;
mod event_size_limit;
mod event_validator;
mod generation_request;
mod http_client;
mod http_engine_client;
mod http_service_client;
mod load_report;
pub mod protocol;
mod service_client;
mod service_options;
mod stream_event;
mod token_stream;

use std::{future::Future, pin::Pin};

pub use crate::{
    cache_event::{CacheEvent, PREFIX_BYTES, prefix_digest, prompt_digest},
    call_failure::CallFailure,
    cancel_outcome::CancelOutcome,
    engine_client::{EngineClient, EngineError, EngineOrder, OrderOutcome},
    generation_request::GenerationRequest,
    http_engine_client::HttpEngineClient,
    http_service_client::HttpServiceClient,
    load_report::LoadReport,
    service_client::{ServiceClient, ServiceRequest, ServiceResponse},
    service_options::ServiceOptions,
    stream_event::{FinishReason, StreamEvent},
    token_stream::TokenStream,
};

/// Future returned by the object-safe asynchronous interfaces.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
