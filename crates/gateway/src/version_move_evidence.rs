//! Request results of the old and the new version of a service.

use std::collections::BTreeMap;

/// Assumed increase of the bad share in a bad version.
const BAD_DIFFERENCE: f64 = 0.2;
/// Minimum bad share assumed for a good version, since servers of any version may crash.
const MIN_BAD_SHARE: f64 = 0.02;
/// Maximum bad share assumed for a good version.
const MAX_BAD_SHARE: f64 = 0.6;
/// Log-likelihood ratio from which the new version counts as bad. A good version exceeds it with a
/// probability of 1 in 400.
const BAD_EVIDENCE: f64 = 6.0;
/// Log-likelihood ratio from which the new version is too doubtful to get all requests.
const DOUBTFUL_EVIDENCE: f64 = 2.0;

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

    /// Returns whether the new version is significantly worse than the old one, on all routes
    /// together or on any single route.
    pub fn is_bad(&self) -> bool {
        self.strongest_evidence() >= BAD_EVIDENCE
    }

    /// Returns whether the results speak against the new version, but may be too few to prove that
    /// it is bad.
    pub fn is_doubtful(&self) -> bool {
        self.strongest_evidence() >= DOUBTFUL_EVIDENCE
    }

    /// Returns the highest log-likelihood ratio, of a single route or of all together.
    fn strongest_evidence(&self) -> f64 {
        let mut sum = 0.0;
        let mut strongest = f64::NEG_INFINITY;
        for results in self.results.values() {
            let evidence = route_evidence(results);
            strongest = strongest.max(evidence);
            sum += evidence;
        }
        strongest.max(sum)
    }
}

/// Returns the log-likelihood ratio of the new version's results: the hypothesis that the version
/// is bad against the hypothesis that it is good.
fn route_evidence([old, new]: &[ResultCounts; 2]) -> f64 {
    let usual = (old.bad as f64 + 0.5) / (old.total() as f64 + 1.0);
    let usual = usual.clamp(MIN_BAD_SHARE, MAX_BAD_SHARE);
    let raised = usual + BAD_DIFFERENCE;
    new.bad as f64 * (raised / usual).ln() + new.good as f64 * ((1.0 - raised) / (1.0 - usual)).ln()
}
