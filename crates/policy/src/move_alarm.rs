//! Fast, unpaired check of the new version's rate.

/// Logarithm of the likelihood ratio at which the alarm is raised. Below it a run of bad luck of
/// odds 1 to 150 against stays unnoticed.
const ALARM_LOG: f64 = 5.0;

/// Cumulative sum of the log likelihood ratio of a high rate against the tolerated one. It needs
/// no traffic of the old version, and can't tell a bad version from a platform fault: it only
/// lowers the share, so that the comparison with the old version gets informative traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct MoveAlarm {
    tolerance: f64,
    sum: f64,
}

impl MoveAlarm {
    /// Creates an alarm for a tolerated rate.
    pub fn new(tolerance: f64) -> MoveAlarm {
        MoveAlarm { tolerance, sum: 0.0 }
    }

    /// Takes requests into account and returns whether the alarm is raised.
    pub fn absorb(&mut self, requests: u64, bad: u64) -> bool {
        let high = (4.0 * self.tolerance).min(0.5 + self.tolerance / 2.0);
        let good = requests.saturating_sub(bad) as f64;
        self.sum += bad as f64 * (high / self.tolerance).ln();
        self.sum += good * ((1.0 - high) / (1.0 - self.tolerance)).ln();
        self.sum = self.sum.clamp(0.0, 2.0 * ALARM_LOG);
        self.sum >= ALARM_LOG
    }
}
