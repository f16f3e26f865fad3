//! Sequential evidence that a version is good.

use crate::MoveStratum;

/// Odds ratio from which a version counts as bad in the comparison with the old version.
const BAD_ODDS: f64 = 3.0;

/// Rates of a good version as fractions of the tolerated rate.
const GOOD_FRACTIONS: [f64; 2] = [0.125, 0.5];

/// E-process against "the version is bad", where bad means a rate above the tolerance and odds at
/// least three times those of the old version. Half of it bets on the rate alone, which decides
/// when failures are rare; half bets on the comparison, which decides when a platform fault
/// raises the rates of both versions.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveProof {
    tolerance: f64,
    log_rate: [f64; GOOD_FRACTIONS.len()],
    log_odds: f64,
    requests: u64,
}

impl MoveProof {
    /// Creates a proof for a tolerated rate of bad requests.
    pub fn new(tolerance: f64) -> MoveProof {
        MoveProof { tolerance, log_rate: [0.0; GOOD_FRACTIONS.len()], log_odds: 0.0, requests: 0 }
    }

    /// Returns a proof that starts again with the same tolerance.
    #[must_use]
    pub fn restart(self) -> MoveProof {
        MoveProof::new(self.tolerance)
    }

    /// Takes one stratum into account.
    pub fn absorb(&mut self, stratum: &MoveStratum) {
        self.requests += stratum.new;
        self.log_odds -= stratum.log_ratio(BAD_ODDS, 1.0);
        let good = (stratum.new - stratum.new_bad) as f64;
        for (log, fraction) in self.log_rate.iter_mut().zip(GOOD_FRACTIONS) {
            let rate = fraction * self.tolerance;
            *log += stratum.new_bad as f64 * fraction.ln();
            *log += good * ((1.0 - rate) / (1.0 - self.tolerance)).ln();
        }
    }

    /// Returns the evidence that the version is good.
    pub fn e_value(&self) -> f64 {
        let rate = self.log_rate.iter().map(|log| log.exp()).sum::<f64>();
        0.5 * rate / GOOD_FRACTIONS.len() as f64 + 0.5 * self.log_odds.exp()
    }

    /// Returns the requests of the new version that the proof rests on.
    pub fn requests(&self) -> u64 {
        self.requests
    }
}
