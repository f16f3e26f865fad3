//! Choice of backend servers and weights of priority classes.

use crate::section_values::SectionValues;

/// Settings of placement.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// Name under which the placement policy is registered.
    pub policy: String,
    /// Maximum share of an engine's memory that the forecast may reach.
    pub headroom: f64,
    /// Weight of the priority class `high`.
    pub weight_high: f64,
    /// Weight of the priority class `normal`.
    pub weight_normal: f64,
    /// Weight of the priority class `low`.
    pub weight_low: f64,
}

impl PlacementSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<PlacementSettings> {
        Some(PlacementSettings {
            policy: values.text("policy").map(str::to_owned)?,
            headroom: values.number("headroom")?,
            weight_high: values.number("weight_high")?,
            weight_normal: values.number("weight_normal")?,
            weight_low: values.number("weight_low")?,
        })
    }
}
