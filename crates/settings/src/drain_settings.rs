//! Planned shutdown.

use std::time::Duration;

use crate::section_values::SectionValues;

/// Settings of a planned shutdown.
#[derive(Debug, Clone, PartialEq)]
pub struct DrainSettings {
    /// Time for which new work is still accepted after the VM reports that it is not ready.
    pub balancer_lag: Duration,
    /// Time after which remaining streams are handed over; without it they run to their end.
    pub shutdown_timeout: Option<Duration>,
}

impl DrainSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<DrainSettings> {
        Some(DrainSettings {
            balancer_lag: values.duration("balancer_lag")?,
            shutdown_timeout: values.duration("shutdown_timeout"),
        })
    }
}
