//! Request counters of one model version.

use std::ops::AddAssign;

/// Request counters of one model version on one route. They never decrease within an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EvidenceCounts {
    /// Finished requests.
    pub finished: u64,
    /// Requests that failed because of the version.
    pub failed: u64,
    /// Requests that were slower than the objective.
    pub slow: u64,
}

impl EvidenceCounts {
    /// Merges `other` into these counters by taking the maximum of each.
    pub fn merge_max(&mut self, other: EvidenceCounts) {
        self.finished = self.finished.max(other.finished);
        self.failed = self.failed.max(other.failed);
        self.slow = self.slow.max(other.slow);
    }
}

impl AddAssign for EvidenceCounts {
    fn add_assign(&mut self, other: EvidenceCounts) {
        self.finished = self.finished.saturating_add(other.finished);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }
}
