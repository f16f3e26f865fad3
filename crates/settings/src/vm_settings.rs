//! This VM: its place and its addresses.

use std::net::SocketAddr;

use dragonflycart_core::{VmOrdinal, ZoneName};

use crate::section_values::SectionValues;

/// Settings of this VM.
#[derive(Debug, Clone, PartialEq)]
pub struct VmSettings {
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Seat within the zone.
    pub ordinal: VmOrdinal,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for other entry VMs.
    pub peer: SocketAddr,
    /// Address of the administration API.
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
