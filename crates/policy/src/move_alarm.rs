//! Fast change detector for the rate of bad requests of one version.

/// Logarithm of the likelihood ratio at which the first alarm is raised, about 150 to 1. Weaker
/// evidence is treated as chance.
const INITIAL_LIMIT: f64 = 5.0;

/// Highest limit after repeated alarms.
const MAX_LIMIT: f64 = 80.0;

/// CUSUM detector: cumulative sum of the log-likelihood ratio of a high rate of bad requests
/// against the tolerated rate.
///
/// It needs no requests of the other version, so it can't distinguish a bad version from a platform
/// fault. An alarm therefore only lowers the share of the new version, which gives the comparison
/// enough requests of the old version.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveAlarm {
    tolerance: f64,
    sum: f64,
    limit: f64,
}

impl MoveAlarm {
    /// Creates a detector for a tolerated rate of bad requests.
    pub fn new(tolerance: f64) -> MoveAlarm {
        MoveAlarm { tolerance, sum: 0.0, limit: INITIAL_LIMIT }
    }

    /// Doubles the limit after an alarm that did not lead to a rollback. A version that is bad only
    /// under load fails only until the alarm lowers its share. With a constant limit, every attempt
    /// at a higher share would be stopped after the same small amount of evidence, and this would
    /// repeat until the deadline. With a growing limit, each attempt collects more evidence than
    /// the one before.
    pub fn raise_limit(&mut self) {
        self.sum = 0.0;
        self.limit = (2.0 * self.limit).min(MAX_LIMIT);
    }

    /// Updates the detector and returns whether the limit is reached.
    pub fn absorb(&mut self, requests: u64, bad: u64) -> bool {
        let high = (4.0 * self.tolerance).min(0.5 + self.tolerance / 2.0);
        let good = requests.saturating_sub(bad) as f64;
        self.sum += bad as f64 * (high / self.tolerance).ln();
        self.sum += good * ((1.0 - high) / (1.0 - self.tolerance)).ln();
        self.sum = self.sum.clamp(0.0, 2.0 * self.limit);
        self.sum >= self.limit
    }
}
