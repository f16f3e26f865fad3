//! Request results of the old and the new version of a service.

use std::collections::BTreeMap;

use crate::UsualResults;

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
    /// Usual results of each VM before the version move, by route.
    usual: BTreeMap<String, Vec<UsualResults>>,
}

impl VersionMoveEvidence {
    /// Builds the evidence of a VM without results from its usual results before the version move.
    pub fn with_usual(usual: BTreeMap<String, UsualResults>) -> VersionMoveEvidence {
        VersionMoveEvidence::from_results(RouteResults::new(), usual)
    }

    /// Builds the evidence from what a VM reported.
    pub fn from_results(
        results: RouteResults,
        usual: BTreeMap<String, UsualResults>,
    ) -> VersionMoveEvidence {
        let usual = usual.into_iter().map(|(route, usual)| (route, vec![usual])).collect();
        VersionMoveEvidence { results, usual }
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

    /// Returns the usual results of all VMs before the version move, by route.
    pub fn usual(&self) -> BTreeMap<String, UsualResults> {
        let combine = |(route, parts): (&String, &Vec<UsualResults>)| {
            (route.clone(), UsualResults::combine(parts))
        };
        self.usual.iter().map(combine).collect()
    }

    /// Adds the results of another VM.
    pub fn add(&mut self, other: &VersionMoveEvidence) {
        for (route, parts) in &other.usual {
            self.usual.entry(route.clone()).or_default().extend(parts);
        }
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
