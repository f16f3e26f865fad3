//! Sequential test of one comparison, valid at any time.

use crate::MoveStratum;

/// Odds ratios of the alternatives. Their average covers a version that fails a few times as often
/// as the old one as well as one that nearly always fails.
const ALTERNATIVES: [f64; 3] = [4.0, 12.0, 50.0];

/// Test of "the new version is not worse than the old one by more than the margin" by betting: an
/// e-process, whose expected value is at most 1 at every stopping time if the statement holds. By
/// Ville's inequality it exceeds `1 / a` with probability at most `a`, however often it is read.
///
/// The process is a mixture over the time at which the version turns bad: each call of
/// [`MoveTest::open_segment`] adds weight that bets only on strata from then on. The sum of all
/// weights must be at most 1.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveTest {
    margin: f64,
    wealth: [f64; ALTERNATIVES.len()],
    recent: [MoveStratum; 2],
}

impl MoveTest {
    /// Creates a test of "the odds ratio is at most `margin`".
    pub fn new(margin: f64) -> MoveTest {
        MoveTest { margin, wealth: [0.0; ALTERNATIVES.len()], recent: [MoveStratum::default(); 2] }
    }

    /// Adds weight for a version that turns bad now.
    pub fn open_segment(&mut self, weight: f64) {
        for wealth in &mut self.wealth {
            *wealth += weight;
        }
    }

    /// Starts a new period of the recent counts.
    pub fn rotate_recent(&mut self) {
        self.recent = [MoveStratum::default(), self.recent[0]];
    }

    /// Takes one stratum into account.
    pub fn absorb(&mut self, stratum: &MoveStratum) {
        self.recent[0] = self.recent[0].plus(stratum);
        for (wealth, odds) in self.wealth.iter_mut().zip(ALTERNATIVES) {
            *wealth = (*wealth * stratum.log_ratio(odds, self.margin).exp()).min(f64::MAX / 1e9);
        }
    }

    /// Returns the evidence against the new version.
    pub fn e_value(&self) -> f64 {
        self.wealth.iter().sum::<f64>() / ALTERNATIVES.len() as f64
    }

    /// Returns the requests and bad requests of this period and the one before. Those
    /// of the whole move would hide a version that turned bad late.
    pub fn recent(&self) -> MoveStratum {
        self.recent[0].plus(&self.recent[1])
    }
}
