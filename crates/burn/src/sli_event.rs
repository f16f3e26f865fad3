//! Events that count for service-level objectives.

use dragonflycart_core::{RouteName, TeamName, VersionName, ZoneName};

use crate::SliMeasurement;

/// One or more equal events that a VM observed. Equal events are passed as one value with a count,
/// because a VM observes thousands of token gaps per second.
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
