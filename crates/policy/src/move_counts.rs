//! Counters of one version on one route within one time bucket.

/// Concluded requests. Each request is counted once, in the bucket in which it was started: when
/// it finishes, when it fails, or when it exceeds the latency objective while still open (then as
/// finished and slow). A version that never answers is therefore seen as slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MoveCounts {
    /// Requests that did not fail, including the slow ones.
    pub finished: u64,
    /// Requests that failed because of the version.
    pub failed: u64,
    /// Requests among `finished` that exceeded the latency objective.
    pub slow: u64,
}

impl MoveCounts {
    /// Returns the number of concluded requests.
    pub fn total(self) -> u64 {
        self.finished + self.failed
    }

    /// Returns the highest value of each counter. Counters of one VM only grow, so this merges
    /// repeated and reordered messages.
    #[must_use]
    pub fn highest(self, other: MoveCounts) -> MoveCounts {
        MoveCounts {
            finished: self.finished.max(other.finished),
            failed: self.failed.max(other.failed),
            slow: self.slow.max(other.slow),
        }
    }

    /// Returns the sum of two counters.
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
