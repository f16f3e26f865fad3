//! One service of the route plan.

use crate::EngineSpec;

/// Service: a group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedService {
    /// Name of the service.
    pub name: String,
    /// Requests per second that a cold backend server tolerates, over all VMs; zero if its
    /// service has no cold phase.
    pub cold_rate: f64,
    /// Path at which a server answers whether it takes work, and who it is.
    pub health_path: String,
    /// Engine that generates tokens, or `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
