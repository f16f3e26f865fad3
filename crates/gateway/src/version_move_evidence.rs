//! Request results of the old and the new version of a service.

use std::collections::BTreeMap;

/// Role of a server's version in a version move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionRole {
    /// Any version other than the target.
    Old,
    /// The target version.
    New,
}

/// Results of one role on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResultCounts {
    /// Good results.
    pub good: u64,
    /// Bad results: failures, lost responses, and responses several times slower than those of the
    /// old version.
    pub bad: u64,
}

impl ResultCounts {
    /// Returns the number of results.
    pub fn total(self) -> u64 {
        self.good + self.bad
    }

    /// Returns the results that were added since `earlier`.
    pub fn since(self, earlier: ResultCounts) -> ResultCounts {
        ResultCounts {
            good: self.good.saturating_sub(earlier.good),
            bad: self.bad.saturating_sub(earlier.bad),
        }
    }

    fn add(&mut self, other: ResultCounts) {
        self.good += other.good;
        self.bad += other.bad;
    }
}

/// Counts of the old and the new version by route.
pub type RouteResults = BTreeMap<String, [ResultCounts; 2]>;

/// Results of one VM, or the sum over several VMs.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct VersionMoveEvidence {
    results: RouteResults,
}

impl VersionMoveEvidence {
    /// Builds the evidence from the counts that another VM reported.
    pub fn from_results(results: RouteResults) -> VersionMoveEvidence {
        VersionMoveEvidence { results }
    }

    /// Returns the counts by route.
    pub fn results(&self) -> &RouteResults {
        &self.results
    }

    /// Records the result of a request.
    pub fn note(&mut self, route: &str, role: VersionRole, is_bad: bool) {
        let counts = &mut self.results.entry(route.to_owned()).or_default()[role as usize];
        if is_bad {
            counts.bad += 1;
        } else {
            counts.good += 1;
        }
    }

    /// Adds the results of another VM.
    pub fn add(&mut self, other: &VersionMoveEvidence) {
        for (route, results) in &other.results {
            let sums = self.results.entry(route.clone()).or_default();
            for (sum, counts) in sums.iter_mut().zip(results) {
                sum.add(*counts);
            }
        }
    }

    /// Returns the number of results of one role.
    pub fn total(&self, role: VersionRole) -> u64 {
        self.results.values().map(|results| results[role as usize].total()).sum()
    }
}
