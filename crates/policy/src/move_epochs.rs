//! Periods in which the share of a route stayed nearly the same.

/// Factor by which the odds of the share may change within an epoch. It is no larger than the
/// margin of the tests, which absorbs the remaining difference.
const EPOCH_ODDS: f64 = 1.25;

/// Factor between two consecutive shares from which a decrease leaves out the buckets around it.
const ABRUPT_ODDS: f64 = 1.25;

/// Buckets left out from an abrupt decrease on, while the VMs change their shares.
const BLIND_S: u64 = 1;

/// Shares are clamped to this distance from 0 and 1.
const SHARE_EDGE: f64 = 1e-4;

/// Epochs of one route. Requests of one stratum must have been started in the same epoch: a
/// request that fails late was started at an older share than one that finishes early, and would
/// otherwise seem to belong to the wrong version more often than chance allows.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MoveEpochs {
    starts: Vec<(u64, f64)>,
    blind: Vec<u64>,
    last: Option<f64>,
}

impl MoveEpochs {
    /// Notes the share that is in effect from `now_s` on.
    pub fn observe(&mut self, now_s: u64, share: f64) {
        let share = share.clamp(SHARE_EDGE, 1.0 - SHARE_EDGE);
        let odds = share / (1.0 - share);
        let last = self.last.replace(odds);
        if last.is_some_and(|last| last / odds > ABRUPT_ODDS) {
            self.blind.push(now_s);
        }
        let change = self.starts.last().map(|(_, start)| (odds / start).max(start / odds));
        if change.is_none_or(|change| change > EPOCH_ODDS) {
            self.starts.push((now_s, odds));
        }
    }

    /// Returns the epoch of a bucket, or `None` if the share changed too much around it.
    pub fn epoch(&self, bucket_s: u64) -> Option<usize> {
        let blind = self.blind.iter().any(|from| (*from..from + BLIND_S).contains(&bucket_s));
        (!blind).then(|| self.starts.partition_point(|(start_s, _)| *start_s <= bucket_s))
    }
}
