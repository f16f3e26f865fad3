//! Request counts of the two versions of a version move.

use dragonflycart_core::RouteName;
use serde::{Deserialize, Serialize};

/// Request counts of the old and the new version on one route over the same period.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Route.
    pub route: RouteName,
    /// Requests served by the old version.
    pub old_requests: u64,
    /// Failed or slow requests of the old version.
    pub old_bad: u64,
    /// Requests served by the new version.
    pub new_requests: u64,
    /// Failed or slow requests of the new version.
    pub new_bad: u64,
}
