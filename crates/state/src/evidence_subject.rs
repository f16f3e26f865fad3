//! Key of request counters.

use dragonflycart_core::{ModelName, RouteName, VersionName};

/// Model version and route whose requests are counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvidenceSubject {
    /// Model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Kind of request.
    pub route: RouteName,
}
