//! Periods in which the share of a route stayed nearly constant.

/// Highest factor by which the odds of the share may change within an epoch. It must not exceed the
/// margin of the tests, which covers the remaining difference.
const MAX_EPOCH_ODDS_RATIO: f64 = 1.25;

/// Factor between the odds of two consecutive shares above which a decrease counts as abrupt.
const ABRUPT_ODDS_RATIO: f64 = 1.25;

/// Number of one-second buckets that are excluded from an abrupt decrease on, while the VMs apply
/// the new share.
const EXCLUDED_S: u64 = 1;

/// Shares are clamped to this distance from 0 and 1, so that the ratios of their odds are finite.
const MIN_SHARE_DISTANCE: f64 = 1e-4;

/// Epochs of one route: periods in which the share of the new version stayed nearly constant.
///
/// All requests of a stratum must have started in the same epoch. Slow failures started earlier, at
/// an older share, than quick successes that conclude at the same time. Mixing them would attribute
/// more failures to one version than chance allows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ShareEpochs {
    /// Start of each epoch and odds of the share at that time.
    starts: Vec<(u64, f64)>,
    /// Starts of the excluded periods.
    excluded: Vec<u64>,
    /// Odds of the last share.
    last: Option<f64>,
}

impl ShareEpochs {
    /// Records the share that is in effect from `now_s` on.
    pub fn observe(&mut self, now_s: u64, share: f64) {
        let share = share.clamp(MIN_SHARE_DISTANCE, 1.0 - MIN_SHARE_DISTANCE);
        let odds = share / (1.0 - share);
        let last = self.last.replace(odds);
        if last.is_some_and(|last| last / odds > ABRUPT_ODDS_RATIO) {
            self.excluded.push(now_s);
        }
        let change = self.starts.last().map(|(_, start)| (odds / start).max(start / odds));
        if change.is_none_or(|change| change > MAX_EPOCH_ODDS_RATIO) {
            self.starts.push((now_s, odds));
        }
    }

    /// Returns the epoch of a bucket, or `None` if the bucket is excluded.
    pub fn epoch(&self, bucket_s: u64) -> Option<usize> {
        let excluded =
            self.excluded.iter().any(|from| (*from..from + EXCLUDED_S).contains(&bucket_s));
        (!excluded).then(|| self.starts.partition_point(|(start_s, _)| *start_s <= bucket_s))
    }
}
