//! Service of the route plan.

use dragonflycart_duties::ScaleBounds;

use crate::EngineSpec;

/// Service: a group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedService {
    /// Name of the service.
    pub name: String,
    /// Requests per second that a cold backend server can handle, from all VMs together; zero if
    /// servers of this service need no warm-up.
    pub cold_rate: f64,
    /// Path of the health check, to which a server also responds with its ID.
    pub health_path: String,
    /// Specification of its engines, or `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Limits within which the number of its servers is ordered, or `None` if it is fixed.
    pub scaling: Option<ScaleBounds>,
}
