//! Metrics on which the two versions are compared.

use strum::{Display, IntoStaticStr};

use crate::{MoveCounts, MoveStratum};

/// Metric on which the two versions are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum MoveMetric {
    /// Rate of failed requests among the concluded ones.
    Failed,
    /// Rate of slow requests among those that did not fail.
    Slow,
}

impl MoveMetric {
    /// All metrics.
    pub const ALL: [MoveMetric; 2] = [MoveMetric::Failed, MoveMetric::Slow];

    /// Returns the number of requests and of bad requests in the counters of one version.
    pub fn trials(self, counts: MoveCounts) -> (u64, u64) {
        match self {
            MoveMetric::Failed => (counts.total(), counts.failed),
            MoveMetric::Slow => (counts.finished, counts.slow.min(counts.finished)),
        }
    }

    /// Builds the stratum from the counters of the old and the new version.
    pub fn stratum(self, counts: [MoveCounts; 2]) -> MoveStratum {
        let (old, old_bad) = self.trials(counts[0]);
        let (new, new_bad) = self.trials(counts[1]);
        MoveStratum { old, new, old_bad, new_bad }
    }
}
