//! Interfaces to backend servers: engines, which generate tokens, and plain services.
//!
//! The traits are implemented over HTTP for production and directly by the engine model of the
//! bench, so that the same decision code drives both.

mod call_failure;
mod engine_client;
mod generation_request;
mod load_report;
mod service_client;
mod stream_event;

use std::{future::Future, pin::Pin};

use futures::stream::BoxStream;

pub use crate::{
    call_failure::CallFailure,
    engine_client::{EngineClient, EngineError, EngineOrder, OrderOutcome},
    generation_request::GenerationRequest,
    load_report::LoadReport,
    service_client::{ServiceAnswer, ServiceClient, ServiceRequest},
    stream_event::{FinishReason, StreamEvent},
};

/// Future returned by the object-safe asynchronous interfaces.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Events of one generation on one connection. It ends after `Finished`, or without it when the
/// connection breaks.
pub type TokenStream = BoxStream<'static, Result<StreamEvent, EngineError>>;
