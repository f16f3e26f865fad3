//! One engine.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use dragonflycart_core::{ModelName, ZoneName};

use crate::section_values::SectionValues;

/// Settings of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Models that the engine can serve.
    pub models: BTreeSet<ModelName>,
    /// Whether the engine rejects orders with a stale fencing token.
    pub checks_fences: bool,
    /// Limit of concurrent requests, over all entry VMs, while the engine is cold.
    pub cold_limit: u32,
    /// Minimum time over which the load grows from the cold limit to full load.
    pub ramp: Duration,
}

impl EngineSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<EngineSettings> {
        Some(EngineSettings {
            address: values.address("address")?,
            zone: values.parsed("zone")?,
            models: values.parsed_names("models")?,
            checks_fences: values.flag("checks_fences")?,
            cold_limit: values.integer("cold_limit")?,
            ramp: values.duration("ramp")?,
        })
    }
}
