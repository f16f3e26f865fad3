//! One server of a plain service.

use std::net::SocketAddr;

use dragonflycart_core::{ServiceName, ZoneName};

use crate::section_values::SectionValues;

/// Settings of one server of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceServerSettings {
    /// Service that the server runs.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Maximum number of concurrent calls from this VM.
    pub concurrency: u32,
}

impl ServiceServerSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<ServiceServerSettings> {
        Some(ServiceServerSettings {
            service: values.parsed("service")?,
            address: values.address("address")?,
            zone: values.parsed("zone")?,
            concurrency: values.integer("concurrency")?,
        })
    }
}
