//! What operators ask of the system.

use std::sync::Arc;

use crate::RoutePlan;

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
    MoveVersion {
        /// Name of the service.
        service: String,
        /// Version to move to.
        target: String,
        /// Time within which the move is to be done or taken back.
        time_limit: std::time::Duration,
    },
}
