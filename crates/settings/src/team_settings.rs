//! Weight, limits and credential of a team.

use std::time::Duration;

use crate::{PriorityClass, SecretText, section_values::SectionValues};

/// Settings of one team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSettings {
    /// Weight in fair queueing.
    pub weight: f64,
    /// Priority class.
    pub priority: PriorityClass,
    /// Maximum rate of requests on this VM, if limited.
    pub requests_per_second: Option<f64>,
    /// Maximum rate of tokens on this VM, if limited.
    pub tokens_per_second: Option<f64>,
    /// Burst size of the rate limits, as a duration: unused rate accumulates for at most this time.
    pub burst: Duration,
    /// Bearer token of the team.
    pub credential: SecretText,
}

impl TeamSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<TeamSettings> {
        Some(TeamSettings {
            weight: values.number("weight")?,
            priority: values.parsed("priority")?,
            requests_per_second: values.number("requests_per_second"),
            tokens_per_second: values.number("tokens_per_second"),
            burst: values.duration("burst")?,
            credential: values.text("credential").map(SecretText::new)?,
        })
    }
}
