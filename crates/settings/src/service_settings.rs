//! Operations of a plain service.

use std::collections::BTreeSet;

use dragonflycart_core::RouteName;

use crate::section_values::SectionValues;

/// Settings of one plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// Operations that may be executed more than once.
    pub idempotent: BTreeSet<RouteName>,
    /// Operations that are executed at most once.
    pub not_idempotent: BTreeSet<RouteName>,
    /// Whether the service can look up the outcome of a call by its request key.
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
