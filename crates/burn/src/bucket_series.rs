//! Event counts per time bucket.

use std::collections::BTreeMap;

use dragonflycart_core::WallTime;
use serde::{Deserialize, Serialize};

use crate::EventCounts;

/// Event counts per time bucket of fixed length. Buckets are numbered from the Unix epoch, so the
/// numbers are the same on every VM and series of several VMs merge bucket by bucket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSeries {
    bucket_ms: u64,
    buckets: BTreeMap<u64, EventCounts>,
}

impl BucketSeries {
    /// Creates an empty series of buckets of `bucket_ms` milliseconds; 0 counts as 1.
    pub fn new(bucket_ms: u64) -> BucketSeries {
        BucketSeries { bucket_ms: bucket_ms.max(1), buckets: BTreeMap::new() }
    }

    fn bucket_number(&self, time: WallTime) -> u64 {
        time.as_unix_millis() / self.bucket_ms.max(1)
    }

    /// Adds `count` events that occurred at `time`.
    pub fn record(&mut self, time: WallTime, good: bool, count: u64) {
        self.buckets.entry(self.bucket_number(time)).or_default().record(good, count);
    }

    /// Drops all but the newest `keep` buckets, the last of which contains `now`.
    pub fn prune(&mut self, now: WallTime, keep: u64) {
        let first = (self.bucket_number(now) + 1).saturating_sub(keep);
        self.buckets = self.buckets.split_off(&first);
    }

    /// Adds the counts of another series with the same bucket length.
    ///
    /// Returns `false` and changes nothing if the lengths differ.
    pub fn merge(&mut self, other: &BucketSeries) -> bool {
        if self.bucket_ms != other.bucket_ms {
            return false;
        }
        for (bucket_number, counts) in &other.buckets {
            self.buckets.entry(*bucket_number).or_default().merge(*counts);
        }
        true
    }

    /// Sums the newest `window_ms / bucket_ms` buckets, the last of which contains `now`. That
    /// bucket is not complete yet, so the sum covers up to one bucket less than the window.
    pub fn sum(&self, now: WallTime, window_ms: u64) -> EventCounts {
        let last = self.bucket_number(now);
        let buckets = (window_ms / self.bucket_ms.max(1)).max(1);
        let first = (last + 1).saturating_sub(buckets);
        let mut sum = EventCounts::default();
        for counts in self.buckets.range(first..=last).map(|(_, counts)| counts) {
            sum.merge(*counts);
        }
        sum
    }

    /// Returns the start of each bucket with events, in milliseconds since 1970, and its counts.
    pub fn iter(&self) -> impl Iterator<Item = (u64, EventCounts)> + '_ {
        self.buckets.iter().map(|(bucket_number, counts)| (bucket_number * self.bucket_ms, *counts))
    }
}
