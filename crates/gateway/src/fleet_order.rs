//! What operators ask of the system.

use std::sync::Arc;

use crate::{RoutePlan, VersionMoveSpec};

/// One entry of the operators' table.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetOrder {
    /// The route plan.
    Plan(Arc<RoutePlan>),
    /// No work goes to the servers of an availability zone.
    EvacuateZone {
        /// Name of the zone.
        zone: String,
    },
    /// The traffic of a service moves to another version.
    MoveVersion(VersionMoveSpec),
}
