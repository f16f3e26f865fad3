//! What evidence is about.

use dragonflycart_core::{ModelName, RouteName, VersionName};

/// Model version on one route.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvidenceSubject {
    /// Model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Kind of request.
    pub route: RouteName,
}
