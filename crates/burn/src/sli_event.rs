//! One event, or several equal ones.

use dragonflycart_core::{RouteName, TeamName, VersionName, ZoneName};

use crate::SliMeasurement;

/// Events that a VM observed. Equal events are passed with a count, because token gaps come at
/// thousands per second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SliEvent {
    /// Route of a model, or operation of a service.
    pub route: RouteName,
    /// Team that made the request.
    pub team: TeamName,
    /// Availability zone of the backend server, if one was chosen.
    pub zone: Option<ZoneName>,
    /// Model version, if one was chosen.
    pub version: Option<VersionName>,
    /// What was measured.
    pub measure: SliMeasurement,
    /// Number of equal events.
    pub count: u64,
}
