//! Counts per period.

use std::collections::BTreeMap;

use dragonflycart_core::WallTime;
use serde::{Deserialize, Serialize};

use crate::EventCounts;

/// Counts per period of fixed length, by number of the period since 1970. The numbers are the
/// same on every VM, so series of several VMs merge period by period.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSeries {
    bucket_ms: u64,
    buckets: BTreeMap<u64, EventCounts>,
}

impl BucketSeries {
    /// Starts an empty series; `bucket_ms` is the length of a period and at least 1.
    pub fn new(bucket_ms: u64) -> BucketSeries {
        BucketSeries { bucket_ms: bucket_ms.max(1), buckets: BTreeMap::new() }
    }

    fn number(&self, time: WallTime) -> u64 {
        time.as_unix_millis() / self.bucket_ms.max(1)
    }

    /// Adds events at `time`.
    pub fn record(&mut self, time: WallTime, good: bool, count: u64) {
        self.buckets.entry(self.number(time)).or_default().record(good, count);
    }

    /// Drops all but the newest `keep` periods up to and including the one of `now`.
    pub fn prune(&mut self, now: WallTime, keep: u64) {
        let first = (self.number(now) + 1).saturating_sub(keep);
        self.buckets = self.buckets.split_off(&first);
    }

    /// Adds the counts of another series with the same length of periods.
    ///
    /// Returns `false` and changes nothing if the lengths differ.
    pub fn merge(&mut self, other: &BucketSeries) -> bool {
        if self.bucket_ms != other.bucket_ms {
            return false;
        }
        for (number, counts) in &other.buckets {
            self.buckets.entry(*number).or_default().merge(*counts);
        }
        true
    }

    /// Sums the newest `window_ms / bucket_ms` periods up to and including the one of `now`. The
    /// current period is not over yet, so the sum covers up to one period less than the window.
    pub fn sum(&self, now: WallTime, window_ms: u64) -> EventCounts {
        let last = self.number(now);
        let periods = (window_ms / self.bucket_ms.max(1)).max(1);
        let first = (last + 1).saturating_sub(periods);
        let mut sum = EventCounts::default();
        for counts in self.buckets.range(first..=last).map(|(_, counts)| counts) {
            sum.merge(*counts);
        }
        sum
    }

    /// Returns the start of each period with events, in milliseconds since 1970, and its counts.
    pub fn iter(&self) -> impl Iterator<Item = (u64, EventCounts)> + '_ {
        self.buckets.iter().map(|(number, counts)| (number * self.bucket_ms, *counts))
    }
}
