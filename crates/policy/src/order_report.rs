//! Reported state of one engine that orders depend on.

use std::collections::BTreeSet;

use dragonflycart_core::{MonoTime, OrderFence, ServerInstance};

use crate::order_action::ModelVersion;

/// Reported state of one engine that orders depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReport {
    /// Time at which the report was requested. The reported state is not older than this.
    pub taken_at: MonoTime,
    /// Run of the server's process.
    pub instance: ServerInstance,
    /// Versions that are loaded.
    pub loaded: BTreeSet<ModelVersion>,
    /// Highest fencing token that the engine has seen.
    pub highest_fence: OrderFence,
}
