//! Sequential test that accepts the new version.

use crate::MoveStratum;

/// Odds ratio to the old version from which the new version counts as bad.
const BAD_ODDS: f64 = 3.0;

/// Rates that are assumed for a good version, as fractions of the tolerated rate.
const GOOD_FRACTIONS: [f64; 2] = [0.125, 0.5];

/// E-process against the hypothesis that the new version is bad: that its rate of bad requests is
/// above the tolerance and its odds are at least three times those of the old version.
///
/// Half of the process tests the rate alone, which decides when failures are rare. The other half
/// tests the odds ratio to the old version, which decides when a platform fault raises the rates of
/// both versions.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveAcceptanceTest {
    tolerance: f64,
    log_rate: [f64; GOOD_FRACTIONS.len()],
    log_odds: f64,
    requests: u64,
}

impl MoveAcceptanceTest {
    /// Creates a test for a tolerated rate of bad requests.
    pub fn new(tolerance: f64) -> MoveAcceptanceTest {
        MoveAcceptanceTest {
            tolerance,
            log_rate: [0.0; GOOD_FRACTIONS.len()],
            log_odds: 0.0,
            requests: 0,
        }
    }

    /// Returns a new test with the same tolerance.
    #[must_use]
    pub fn restart(self) -> MoveAcceptanceTest {
        MoveAcceptanceTest::new(self.tolerance)
    }

    /// Updates the test with one stratum.
    pub fn absorb(&mut self, stratum: &MoveStratum) {
        self.absorb_comparison(stratum);
        let good = (stratum.new - stratum.new_bad) as f64;
        for (log, fraction) in self.log_rate.iter_mut().zip(GOOD_FRACTIONS) {
            let rate = fraction * self.tolerance;
            *log += stratum.new_bad as f64 * fraction.ln();
            *log += good * ((1.0 - rate) / (1.0 - self.tolerance)).ln();
        }
    }

    /// Updates only the half that compares the versions, with a stratum from a time in which both
    /// had many bad requests. The rate in such a time says nothing about the new version.
    pub fn absorb_comparison(&mut self, stratum: &MoveStratum) {
        self.requests += stratum.new;
        self.log_odds -= stratum.log_likelihood_ratio(BAD_ODDS, 1.0);
    }

    /// Returns the e-value; a large value means that the new version is good.
    pub fn e_value(&self) -> f64 {
        let rate = self.log_rate.iter().map(|log| log.exp()).sum::<f64>();
        0.5 * rate / GOOD_FRACTIONS.len() as f64 + 0.5 * self.log_odds.exp()
    }

    /// Returns the number of requests of the new version in the test.
    pub fn requests(&self) -> u64 {
        self.requests
    }
}
