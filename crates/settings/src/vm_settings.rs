//! Zone, ordinal and addresses of this VM.

use std::net::SocketAddr;

use dragonflycart_core::{VmOrdinal, ZoneName};

use crate::section_values::SectionValues;

/// Settings of this VM.
#[derive(Debug, Clone, PartialEq)]
pub struct VmSettings {
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Ordinal within the zone; the key is `seat`.
    pub ordinal: VmOrdinal,
    /// Listen address for callers.
    pub http: SocketAddr,
    /// Address for messages of other entry VMs.
    pub peer: SocketAddr,
    /// Listen address of the administration API.
    pub admin: SocketAddr,
    /// Number of traffic threads.
    pub traffic_threads: usize,
}

impl VmSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<VmSettings> {
        Some(VmSettings {
            zone: values.parsed("zone")?,
            ordinal: values.integer("seat").map(VmOrdinal)?,
            http: values.address("http")?,
            peer: values.address("peer")?,
            admin: values.address("admin")?,
            traffic_threads: values.integer("traffic_threads")?,
        })
    }
}
