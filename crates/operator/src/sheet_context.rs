//! Context for checking a plan file.

use std::collections::BTreeSet;

use dragonflycart_core::{ModelName, OperatingPlan, WallTime, ZoneName};

/// State of the deployment against which a plan file is checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetContext {
    /// Current time; times in the plan must be later.
    pub now: WallTime,
    /// Availability zones of the deployment; `None` if no server was queried.
    pub zones: Option<BTreeSet<ZoneName>>,
    /// Models of the deployment; `None` if no server was queried.
    pub models: Option<BTreeSet<ModelName>>,
    /// Active plan; empty if there is none or no server was queried.
    pub active: OperatingPlan,
}

impl SheetContext {
    /// Creates a context for checking a file without a server.
    pub fn offline(now: WallTime) -> SheetContext {
        SheetContext { now, zones: None, models: None, active: OperatingPlan::default() }
    }
}
