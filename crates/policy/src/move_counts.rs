//! Counters of one version on one route within one time bucket.

/// Counters of concluded requests.
///
/// Each request is counted once, in the bucket in which it started: when it finishes, when it
/// fails, or when it exceeds the latency objective while it is still open. In the last case it
/// counts as finished and slow, so a version that never responds counts as slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MoveCounts {
    /// Requests that did not fail, including the slow ones.
    pub finished: u64,
    /// Requests whose failure is attributed to the version.
    pub failed: u64,
    /// Requests among `finished` that exceeded the latency objective.
    pub slow: u64,
}

impl MoveCounts {
    /// Returns the number of concluded requests.
    pub fn total(self) -> u64 {
        self.finished + self.failed
    }

    /// Returns the maximum of each counter. The counters of one VM only grow, so this merges
    /// repeated and reordered messages.
    #[must_use]
    pub fn highest(self, other: MoveCounts) -> MoveCounts {
        MoveCounts {
            finished: self.finished.max(other.finished),
            failed: self.failed.max(other.failed),
            slow: self.slow.max(other.slow),
        }
    }

    /// Returns the sum of each counter.
    #[must_use]
    pub fn plus(self, other: MoveCounts) -> MoveCounts {
        MoveCounts {
            finished: self.finished + other.finished,
            failed: self.failed + other.failed,
            slow: self.slow + other.slow,
        }
    }

    /// Returns what was counted after `earlier`.
    #[must_use]
    pub fn since(self, earlier: MoveCounts) -> MoveCounts {
        MoveCounts {
            finished: self.finished.saturating_sub(earlier.finished),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}
