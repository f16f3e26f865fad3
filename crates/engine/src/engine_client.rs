//! Interface to one engine.

use displaydoc::Display;
use dragonflycart_core::{ModelName, OrderFence, VersionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{BoxFuture, CacheEvent, GenerationRequest, LoadReport, TokenStream};

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

/// Change of an engine's state asked for by the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a model version beside what is loaded.
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

/// Answer of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The order takes effect.
    Accepted,
    /// The engine has seen a higher fencing number.
    StaleFence,
}

/// Client of one engine.
pub trait EngineClient: Send + Sync {
    /// Starts a generation and returns its events from index 0, or from the length of the forced
    /// prefix.
    ///
    /// # Errors
    ///
    /// [`EngineError::NotSent`] if the engine can't have seen the request.
    fn start(&self, request: GenerationRequest) -> BoxFuture<'_, Result<TokenStream, EngineError>>;

    /// Opens a new connection to a running or finished generation, from token `next_index` on.
    ///
    /// # Errors
    ///
    /// [`EngineError::UnknownGeneration`] if the engine lost it, for example by a restart.
    fn resume(
        &self,
        generation: &str,
        next_index: u64,
    ) -> BoxFuture<'_, Result<TokenStream, EngineError>>;

    /// Cancels a generation; unknown generations are ignored.
    ///
    /// # Errors
    ///
    /// Any transport failure; the generation may then still run.
    fn cancel(&self, generation: &str) -> BoxFuture<'_, Result<(), EngineError>>;

    /// Reads the engine's load report.
    ///
    /// # Errors
    ///
    /// Any transport failure.
    fn report(&self) -> BoxFuture<'_, Result<LoadReport, EngineError>>;

    /// Reads the published changes of the prefix cache after number `after`. They are late and may
    /// have gaps. Engines without a prefix cache publish none.
    ///
    /// # Errors
    ///
    /// Any transport failure.
    fn cache_events(&self, _after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, EngineError>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    /// Sends an order with its fencing number.
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
