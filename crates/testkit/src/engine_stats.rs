//! What a test can ask the fake engine afterwards.

use dragonflycart_core::OrderFence;
use dragonflycart_engine::{EngineOrder, OrderOutcome};
use serde::{Deserialize, Serialize};

/// Counts of the fake engine since its start, over all instances. Answer to `GET /control/stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Generations accepted, as "version route".
    pub accepted: Vec<String>,
    /// Requests refused.
    pub refused: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Tokens computed again after a preemption.
    pub recomputed_tokens: u64,
    /// Preemptions.
    pub preemptions: u64,
    /// Most concurrent requests in cold start.
    pub cold_high_water: u32,
    /// Requests that arrived in cold start above what the engine could handle.
    pub cold_overloads: u64,
    /// Forced prefixes that differ from the tokens of their generation.
    pub prefix_mismatches: u64,
    /// Generations that were cancelled.
    pub cancelled: u64,
    /// Orders in order of arrival.
    pub orders: Vec<(EngineOrder, OrderFence, OrderOutcome)>,
}
