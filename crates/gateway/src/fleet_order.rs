//! Orders of operators.

use std::sync::Arc;

use crate::{RoutePlan, VersionMoveSpec};

/// Order in the operators' table.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetOrder {
    /// The route plan.
    Plan(Arc<RoutePlan>),
    /// Sends no new work to the servers of an availability zone.
    EvacuateZone {
        /// Name of the zone.
        zone: String,
    },
    /// Starts a move of a service to another version.
    MoveVersion(VersionMoveSpec),
}
