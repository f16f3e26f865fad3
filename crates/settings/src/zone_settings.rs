//! One availability zone.

/// Size and region of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneSettings {
    /// Number of seats: the most entry VMs that the zone has at a time.
    pub ordinal_count: u16,
    /// Region.
    pub region: String,
}
