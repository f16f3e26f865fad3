//! Actions that an order asks an engine to take.

use dragonflycart_core::{ModelName, VersionName};

/// Model with one of its versions.
pub type ModelVersion = (ModelName, VersionName);

/// Change to the model versions that an engine has loaded. A load keeps other versions and may be
/// repeated; an unload is destructive.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderAction {
    /// Loads a version in addition to those that are loaded.
    Load(ModelVersion),
    /// Unloads a version.
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
