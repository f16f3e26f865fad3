//! Sequential test that rejects the new version.

use crate::MoveStratum;

/// Odds ratios of the alternative hypotheses. Their average detects a version that fails a few
/// times as often as the old one as well as one that fails nearly always.
const ALTERNATIVE_ODDS: [f64; 3] = [4.0, 12.0, 50.0];

/// E-process against the hypothesis that the new version is not worse than the old one by more than
/// the margin. If the hypothesis holds, the expected e-value is at most 1 at every stopping time,
/// and by Ville's inequality the e-value exceeds `1 / a` with probability at most `a`, however
/// often it is read.
///
/// The process is a mixture over the time at which the version turns bad: each call of
/// [`MoveRejectionTest::open_segment`] adds weight that only later strata multiply. The sum of all
/// weights must be at most 1.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveRejectionTest {
    margin: f64,
    wealth: [f64; ALTERNATIVE_ODDS.len()],
    recent: [MoveStratum; 2],
}

impl MoveRejectionTest {
    /// Creates a test of the hypothesis that the odds ratio is at most `margin`. It has no weight
    /// until the first call of [`MoveRejectionTest::open_segment`].
    pub fn new(margin: f64) -> MoveRejectionTest {
        MoveRejectionTest {
            margin,
            wealth: [0.0; ALTERNATIVE_ODDS.len()],
            recent: [MoveStratum::default(); 2],
        }
    }

    /// Adds weight for the case that the version turns bad now.
    pub fn open_segment(&mut self, weight: f64) {
        for wealth in &mut self.wealth {
            *wealth += weight;
        }
    }

    /// Starts a new period of the recent counts.
    pub fn rotate_recent(&mut self) {
        self.recent = [MoveStratum::default(), self.recent[0]];
    }

    /// Updates the test with one stratum.
    pub fn absorb(&mut self, stratum: &MoveStratum) {
        self.recent[0] = self.recent[0].plus(stratum);
        for (wealth, odds) in self.wealth.iter_mut().zip(ALTERNATIVE_ODDS) {
            *wealth = (*wealth * stratum.log_likelihood_ratio(odds, self.margin).exp())
                .min(f64::MAX / 1e9);
        }
    }

    /// Returns the e-value; a large value means that the new version is worse.
    pub fn e_value(&self) -> f64 {
        self.wealth.iter().sum::<f64>() / ALTERNATIVE_ODDS.len() as f64
    }

    /// Returns the requests and bad requests of the current period and the one before. The counts
    /// of the whole move would hide that a version turned bad late.
    pub fn recent(&self) -> MoveStratum {
        self.recent[0].plus(&self.recent[1])
    }
}
