//! What a plan file is checked against.

use std::collections::BTreeSet;

use dragonflycart_core::{ModelName, OperatingPlan, WallTime, ZoneName};

/// What a plan file is checked against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetContext {
    /// Present time; times in the plan must be later.
    pub now: WallTime,
    /// Availability zones of the deployment; `None` if no server was asked.
    pub zones: Option<BTreeSet<ZoneName>>,
    /// Models of the deployment; `None` if no server was asked.
    pub models: Option<BTreeSet<ModelName>>,
    /// Active plan; empty if there is none or no server was asked.
    pub active: OperatingPlan,
}

impl SheetContext {
    /// Checks a file by itself, without a server.
    pub fn offline(now: WallTime) -> SheetContext {
        SheetContext { now, zones: None, models: None, active: OperatingPlan::default() }
    }
}
