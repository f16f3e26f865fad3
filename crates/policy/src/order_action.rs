//! Orders to engines.

use dragonflycart_core::{ModelName, VersionName};

/// Model and version.
pub type ModelVersion = (ModelName, VersionName);

/// Change of what an engine has loaded. Loading is additive and repeatable; unloading is
/// destructive.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderAction {
    /// Load a version beside what is loaded.
    Load(ModelVersion),
    /// Unload a version.
    Unload(ModelVersion),
}

impl OrderAction {
    /// Returns the model and version.
    pub fn version(&self) -> &ModelVersion {
        match self {
            OrderAction::Load(version) | OrderAction::Unload(version) => version,
        }
    }
}
