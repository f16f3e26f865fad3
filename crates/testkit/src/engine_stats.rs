//! Statistics of the fake engine.

use dragonflycart_core::OrderFence;
use dragonflycart_engine::{EngineOrder, OrderOutcome};
use serde::{Deserialize, Serialize};

/// Statistics of the fake engine since its start, over all its server instances. Body of the
/// response to `GET /control/stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Accepted generations, each as "version route".
    pub accepted: Vec<String>,
    /// Refused generations.
    pub refused: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens computed again after a preemption.
    pub recomputed_tokens: u64,
    /// Preemptions.
    pub preemptions: u64,
    /// Highest number of concurrent requests during a cold start.
    pub cold_high_water: u32,
    /// Requests that arrived during a cold start and exceeded its concurrency limit.
    pub cold_overloads: u64,
    /// Generations refused because their forced prefix differs from the tokens that this engine
    /// would generate.
    pub prefix_mismatches: u64,
    /// Generations that were cancelled.
    pub cancelled: u64,
    /// Orders with their fences and outcomes, in order of arrival.
    pub orders: Vec<(EngineOrder, OrderFence, OrderOutcome)>,
}
