//! One availability zone.

/// Size and region of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneSettings {
    /// Number of VM ordinals: the maximum number of entry VMs in the zone at a time.
    pub ordinal_count: u16,
    /// Region.
    pub region: String,
}
