//! Reported state of one engine.

use std::collections::BTreeSet;

use dragonflycart_core::{MonoTime, OrderFence, ServerInstance};

use crate::order_action::ModelVersion;

/// Reported state of one engine, as far as orders depend on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReport {
    /// Time at which the request for the report was sent; the state is not older.
    pub taken_at: MonoTime,
    /// Run of the server's process.
    pub instance: ServerInstance,
    /// Versions that are loaded.
    pub loaded: BTreeSet<ModelVersion>,
    /// Highest fencing token that the engine has seen.
    pub highest_fence: OrderFence,
}
