//! Pool of backend servers that can run a request.

use dragonflycart_core::{ModelName, ServiceName, VersionName};

/// Set of interchangeable backend servers: those that serve one model version or one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPool {
    /// Engines that have a model version loaded.
    Generation(ModelName, VersionName),
    /// Plain servers of a service.
    Service(ServiceName),
}
