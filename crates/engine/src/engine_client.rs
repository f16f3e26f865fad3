//! Interface to an engine.

use std::time::Duration;

use displaydoc::Display;
use dragonflycart_core::{ModelName, OrderFence, VersionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{BoxFuture, CacheEvent, CancelOutcome, GenerationRequest, LoadReport, TokenStream};

/// Failure of an operation on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum EngineError {
    /// the engine can't be reached; no byte was sent
    NotSent,
    /// the connection to the engine broke
    ConnectionLost,
    /// the engine does not know the generation
    UnknownGeneration,
    /// the engine refused the request: {0}
    Refused(String),
    /// the engine failed the generation: {0}
    Failed(String),
    /// the engine sent an event that belongs to another generation or can't be parsed
    Protocol,
}

/// Command by which the plan changes what an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a model version in addition to those already loaded.
    Load {
        /// Model to load.
        model: ModelName,
        /// Version to load.
        version: VersionName,
    },
    /// Unload a model version.
    Unload {
        /// Model to unload.
        model: ModelName,
        /// Version to unload.
        version: VersionName,
    },
}

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The order was accepted and takes effect.
    Accepted,
    /// The engine has already seen an order with a higher fencing token.
    StaleFence,
}

/// Client of an engine.
pub trait EngineClient: Send + Sync {
    /// Starts a generation and returns its events. The first token has the index 0, or the length
    /// of the forced prefix.
    ///
    /// # Errors
    ///
    /// [`EngineError::NotSent`] if the engine can't have received the request.
    fn start(&self, request: GenerationRequest) -> BoxFuture<'_, Result<TokenStream, EngineError>>;

    /// Reconnects to a running or finished generation and returns its events from token
    /// `next_index` on.
    ///
    /// # Errors
    ///
    /// [`EngineError::UnknownGeneration`] if the engine no longer has it, for example after a
    /// restart.
    fn resume(
        &self,
        generation: &str,
        next_index: u64,
    ) -> BoxFuture<'_, Result<TokenStream, EngineError>>;

    /// Cancels a generation.
    ///
    /// # Errors
    ///
    /// Any transport failure; the generation may then still be running.
    fn cancel(&self, generation: &str) -> BoxFuture<'_, Result<CancelOutcome, EngineError>>;

    /// Returns whether the engine was heard within `time`, on any connection, and has not rejected one
    /// since. Such an engine runs, however a request to it ends.
    fn is_heard(&self, time: Duration) -> bool;

    /// Reads the engine's load report.
    ///
    /// # Errors
    ///
    /// Any transport failure.
    fn report(&self) -> BoxFuture<'_, Result<LoadReport, EngineError>>;

    /// Reads the events of the prefix cache with a sequence number above `after`. They lag behind
    /// the cache and may have gaps. Engines without a prefix cache publish none.
    ///
    /// # Errors
    ///
    /// Any transport failure.
    fn cache_events(&self, _after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, EngineError>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    /// Sends an order with its fencing token.
    ///
    /// # Errors
    ///
    /// Any transport failure; the order may then have taken effect.
    fn order(
        &self,
        order: EngineOrder,
        fence: OrderFence,
    ) -> BoxFuture<'_, Result<OrderOutcome, EngineError>>;
}
