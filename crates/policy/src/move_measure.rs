//! What is compared between two versions.

use strum::{Display, IntoStaticStr};

use crate::{MoveCounts, MoveStratum};

/// Property of a request that is compared between two versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum MoveMeasure {
    /// Failed requests among the concluded ones.
    Failed,
    /// Slow requests among those that did not fail.
    Slow,
}

impl MoveMeasure {
    /// All measures.
    pub const ALL: [MoveMeasure; 2] = [MoveMeasure::Failed, MoveMeasure::Slow];

    /// Returns the requests and bad requests in the counters of one version.
    pub fn trials(self, counts: MoveCounts) -> (u64, u64) {
        match self {
            MoveMeasure::Failed => (counts.total(), counts.failed),
            MoveMeasure::Slow => (counts.finished, counts.slow.min(counts.finished)),
        }
    }

    /// Builds the stratum from the counters of the old and the new version.
    pub fn stratum(self, counts: [MoveCounts; 2]) -> MoveStratum {
        let (old, old_bad) = self.trials(counts[0]);
        let (new, new_bad) = self.trials(counts[1]);
        MoveStratum { old, new, old_bad, new_bad }
    }
}
