//! Operations of a plain service.

use std::collections::BTreeSet;

use dragonflycart_core::RouteName;

use crate::section_values::SectionValues;

/// Settings of one plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// Operations that may run more than once.
    pub idempotent: BTreeSet<RouteName>,
    /// Operations that run at most once.
    pub not_idempotent: BTreeSet<RouteName>,
    /// Whether the outcome of a call can be looked up by its request key.
    pub lookup: bool,
}

impl ServiceSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<ServiceSettings> {
        Some(ServiceSettings {
            idempotent: values.parsed_names("idempotent")?,
            not_idempotent: values.parsed_names("not_idempotent")?,
            lookup: values.flag("lookup")?,
        })
    }
}
