//! Addresses of the platform's services.

use std::{net::SocketAddr, time::Duration};

use crate::section_values::SectionValues;

/// Addresses of the platform's services and the retention of the log service.
#[derive(Debug, Clone, PartialEq)]
pub struct PlatformSettings {
    /// Log service.
    pub log: SocketAddr,
    /// Service that lists the live and the leaving VMs.
    pub vm_list: SocketAddr,
    /// Store of model weights.
    pub weight_store: SocketAddr,
    /// Time for which the log service keeps a record. Records that are needed for longer are
    /// appended again after half of this time.
    pub record_retention: Duration,
}

impl PlatformSettings {
    pub(crate) fn from_values(values: &SectionValues) -> Option<PlatformSettings> {
        Some(PlatformSettings {
            log: values.address("log")?,
            vm_list: values.address("vm_list")?,
            weight_store: values.address("weight_store")?,
            record_retention: values.duration("record_retention")?,
        })
    }
}
