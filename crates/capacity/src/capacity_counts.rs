//! Counts of what a table was told, for metrics.

use std::ops::AddAssign;

/// Counts of what a table was told, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CapacityCounts {
    /// Samples of this VM.
    pub own_samples: u64,
    /// Reported samples of peers that were used.
    pub peer_samples: u64,
    /// Reported samples of peers that were too old, implausible or known already.
    pub unused_peer_samples: u64,
    /// Load headers that could not be used.
    pub unusable_headers: u64,
    /// Requests sent to avoided servers.
    pub retests: u64,
}

impl AddAssign for CapacityCounts {
    fn add_assign(&mut self, other: CapacityCounts) {
        self.own_samples += other.own_samples;
        self.peer_samples += other.peer_samples;
        self.unused_peer_samples += other.unused_peer_samples;
        self.unusable_headers += other.unusable_headers;
        self.retests += other.retests;
    }
}
