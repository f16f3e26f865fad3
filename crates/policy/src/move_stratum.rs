//! Stratum of the comparison between two versions: the requests of one route in one short period.

/// Requests of both versions that concluded on one route in one short period, and how many of them
/// were bad (failed, or slow).
///
/// If the versions are equally good, then given the total number of bad requests, the number of bad
/// requests of the new version has a hypergeometric distribution, whatever the failure rate of the
/// period is. A platform fault that affects both versions is therefore no evidence against the new
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MoveStratum {
    /// Requests of the old version.
    pub old: u64,
    /// Requests of the new version.
    pub new: u64,
    /// Bad requests of the old version.
    pub old_bad: u64,
    /// Bad requests of the new version.
    pub new_bad: u64,
}

/// Value above which sums are rescaled, far below the largest `f64`.
const RESCALE_ABOVE: f64 = 1e200;

impl MoveStratum {
    /// Returns the sum of two strata, for reports.
    #[must_use]
    pub fn plus(&self, other: &MoveStratum) -> MoveStratum {
        MoveStratum {
            old: self.old + other.old,
            new: self.new + other.new,
            old_bad: self.old_bad + other.old_bad,
            new_bad: self.new_bad + other.new_bad,
        }
    }

    /// Returns the logarithm of the likelihood ratio of odds ratio `high` against `low`, given the
    /// totals of the stratum. For every true odds ratio up to `low`, the expected likelihood ratio
    /// is at most 1, because the conditional distribution has a monotone likelihood ratio.
    pub fn log_likelihood_ratio(&self, high: f64, low: f64) -> f64 {
        if self.old == 0 || self.new == 0 || self.old_bad + self.new_bad == 0 {
            return 0.0;
        }
        self.new_bad as f64 * (high / low).ln() - (self.log_sum(high) - self.log_sum(low))
    }

    /// Returns the logarithm of the normalizing sum for an odds ratio, up to a constant that
    /// doesn't depend on the odds ratio.
    fn log_sum(&self, odds: f64) -> f64 {
        let bad = self.old_bad + self.new_bad;
        let first = bad.saturating_sub(self.old);
        let last = bad.min(self.new);
        let (mut term, mut sum, mut scale) = (1.0f64, 1.0f64, 0.0f64);
        for k in first..last {
            let up = (self.new - k) as f64 * (bad - k) as f64;
            let down = (k + 1) as f64 * (self.old + k + 1 - bad) as f64;
            term *= odds * up / down;
            sum += term;
            if sum > RESCALE_ABOVE {
                scale += sum.ln();
                term /= sum;
                sum = 1.0;
            }
        }
        scale + sum.ln() + first as f64 * odds.ln()
    }
}
