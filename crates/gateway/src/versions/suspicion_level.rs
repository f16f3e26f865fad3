//! How strongly the results speak against the new version of a service.

use std::collections::BTreeMap;

use crate::{ResultCounts, RouteResults, SuspicionRecord, UsualResults};

/// Assumed increase of the bad share in a bad version.
const BAD_DIFFERENCE: f64 = 0.2;
/// Minimum bad share assumed for a good version, since servers of any version may crash.
const MIN_BAD_SHARE: f64 = 0.02;
/// Maximum bad share assumed for a good version.
const MAX_BAD_SHARE: f64 = 0.6;
/// Number of results of the old version that the baseline counts for.
const BASELINE_WEIGHT: f64 = 32.0;
/// Bad results added to the baseline, whose share may be too low by chance.
const BAD_MARGIN: f64 = 1.0;
/// Cumulative log-likelihood ratio from which the new version counts as bad. At most one in a hundred
/// good versions may reach it by chance.
const BAD_EVIDENCE: f64 = 10.0;
/// Cumulative log-likelihood ratio from which the new version is too doubtful to get all requests.
const DOUBTFUL_EVIDENCE: f64 = 2.0;
/// The same against the baseline, while the old version is in trouble.
const DOUBTFUL_EVIDENCE_IN_TROUBLE: f64 = 1.0;
/// The same against the baseline, while all requests go to the new version. It is lower, since few
/// more requests may reach a bad version by then.
const BAD_EVIDENCE_AFTER_SWITCH: f64 = 5.0;
/// Number of bad results beyond the usual ones from which the new version counts as bad, even if the
/// old version has as many now. A bad version must get no requests after fifty bad results.
const BAD_EXCESS: f64 = 20.0;
/// Step in which the log-likelihood ratio is recorded.
const EVIDENCE_STEP: u32 = 3;
/// Step in which the number of bad results beyond the usual ones is recorded.
const EXCESS_STEP: u32 = 5;
/// Multiple of the usual bad share that counts as usual.
const USUAL_FACTOR: f64 = 1.5;
/// Bad share that counts as usual in addition.
const USUAL_MARGIN: f64 = 0.05;

/// Cumulative sums (CUSUM) of the evidence against the new version. They do not fall below zero, so
/// good results from before a version turns bad do not outweigh the bad ones after it.
#[derive(Debug, Clone, PartialEq, Default)]
pub(crate) struct SuspicionLevel {
    /// Results that the sums contain.
    counted: RouteResults,
    /// Log-likelihood ratio against the old version, by route.
    routes: BTreeMap<String, f64>,
    /// The same over all routes.
    total: f64,
    /// Log-likelihood ratio against the results before the version move, over all routes.
    against_baseline: f64,
    /// Whether the old version has more bad results than usual.
    is_old_in_trouble: bool,
    /// Bad results beyond those that were usual before the version move.
    excess: f64,
    highest: SuspicionRecord,
}

impl SuspicionLevel {
    /// Adds the results since the last call. `results` are the results of all VMs so far, and `usual`
    /// those before the version move.
    pub(crate) fn update(
        &mut self,
        results: &RouteResults,
        usual: &BTreeMap<String, UsualResults>,
    ) {
        let (mut total, mut against_baseline, mut old_excess) = (0.0, 0.0, 0.0);
        for (route, [old, new]) in results {
            let [_, counted] = self.counted.get(route).copied().unwrap_or_default();
            let added = new.since(counted);
            let usual = usual.get(route).filter(|usual| usual.is_known());
            let usual = usual.map(UsualResults::bad_share);
            let evidence = added_evidence(*old, added, usual);
            against_baseline += added_evidence(ResultCounts::default(), added, usual);
            total += evidence;
            let level = self.routes.entry(route.clone()).or_default();
            *level = (*level + evidence).max(0.0);
            if let Some(usual) = usual {
                let allowed = USUAL_FACTOR * usual + USUAL_MARGIN;
                old_excess += old.bad as f64 - allowed * old.total() as f64;
                self.excess += added.bad as f64 - allowed * added.total() as f64;
            }
        }
        self.total = (self.total + total).max(0.0);
        self.against_baseline = (self.against_baseline + against_baseline).max(0.0);
        self.excess = self.excess.max(0.0);
        self.is_old_in_trouble = old_excess > 0.0;
        self.counted.clone_from(results);
        let evidence = self.evidence() as u32 / EVIDENCE_STEP * EVIDENCE_STEP;
        let excess = self.excess as u32 / EXCESS_STEP * EXCESS_STEP;
        self.highest.evidence = self.highest.evidence.max(evidence);
        self.highest.excess = self.highest.excess.max(excess);
    }

    /// Returns the highest sums so far, to be written to the store.
    pub(crate) fn highest(&self) -> SuspicionRecord {
        self.highest
    }

    /// Raises the sums to those that VMs recorded which may have ended since.
    pub(crate) fn raise(&mut self, recorded: SuspicionRecord) {
        self.total = self.total.max(f64::from(recorded.evidence));
        self.excess = self.excess.max(f64::from(recorded.excess));
        self.highest.evidence = self.highest.evidence.max(recorded.evidence);
        self.highest.excess = self.highest.excess.max(recorded.excess);
    }

    /// Returns the highest log-likelihood ratio, of a single route or of all together.
    pub(crate) fn evidence(&self) -> f64 {
        self.routes.values().copied().fold(self.total, f64::max)
    }

    /// Returns whether the new version is significantly worse than the old one, or than the old one
    /// was before the version move.
    pub(crate) fn is_bad(&self) -> bool {
        self.evidence() >= BAD_EVIDENCE || self.excess >= BAD_EXCESS
    }

    /// Returns whether the new version, which gets all requests, is worse than usual. The old version
    /// gets no requests to compare it with.
    pub(crate) fn is_bad_after_switch(&self) -> bool {
        self.is_bad() || self.against_baseline >= BAD_EVIDENCE_AFTER_SWITCH
    }

    /// Returns whether the results speak against the new version, but may be too few to prove that
    /// it is bad. An old version in trouble is no excuse, since the two can't be told apart then.
    pub(crate) fn is_doubtful(&self) -> bool {
        let limit = match self.is_old_in_trouble {
            true => DOUBTFUL_EVIDENCE_IN_TROUBLE,
            false => DOUBTFUL_EVIDENCE,
        };
        self.evidence() >= DOUBTFUL_EVIDENCE || self.against_baseline >= limit
    }
}

/// Returns the log-likelihood ratio of results of the new version: the hypothesis that the version
/// is bad against the hypothesis that it is good. `usual` is the bad share before the version move.
fn added_evidence(old: ResultCounts, added: ResultCounts, usual: Option<f64>) -> f64 {
    let (bad_before, total_before) = match usual {
        Some(usual) => (usual * BASELINE_WEIGHT + BAD_MARGIN, BASELINE_WEIGHT),
        None => (0.5, 1.0),
    };
    let share = (old.bad as f64 + bad_before) / (old.total() as f64 + total_before);
    let share = share.clamp(MIN_BAD_SHARE, MAX_BAD_SHARE);
    let raised = share + BAD_DIFFERENCE;
    let bad = added.bad as f64 * (raised / share).ln();
    bad + added.good as f64 * ((1.0 - raised) / (1.0 - share)).ln()
}
