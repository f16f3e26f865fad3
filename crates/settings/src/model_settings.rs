//! Routes and capabilities of a model.

use std::collections::BTreeSet;

use dragonflycart_core::RouteName;

use crate::section_values::SectionValues;

/// Settings of one model, the same for all its versions.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSettings {
    /// Supported routes.
    pub routes: BTreeSet<RouteName>,
    /// Whether engines accept tokens that were already delivered as a forced prefix. This is needed
    /// to continue a generation on another engine.
    pub forced_prefix: bool,
}

impl ModelSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<ModelSettings> {
        Some(ModelSettings {
            routes: values.parsed_names("routes")?,
            forced_prefix: values.flag("forced_prefix")?,
        })
    }
}
