//! Usual time of a piece of work by the number of requests.

use dragonflycart_core::MonoTime;

use crate::sample_ring::SampleRing;

/// Number of requests that share a median.
const BUCKET_REQUESTS: usize = 2;
/// Number of medians; the last one also covers more requests.
const BUCKETS: usize = 32;

/// Usual time of a piece of work at a server of the service, by the number of requests there.
#[derive(Debug, Clone)]
pub(crate) struct TimeModel {
    buckets: Vec<SampleRing>,
}

impl Default for TimeModel {
    fn default() -> TimeModel {
        TimeModel { buckets: vec![SampleRing::default(); BUCKETS] }
    }
}

impl TimeModel {
    /// Adds a time.
    pub(crate) fn push(&mut self, requests: u32, time_s: f64, now: MonoTime) {
        self.buckets[bucket_of(requests)].push(time_s, now);
    }

    /// Returns the usual time in seconds, at the nearest number of requests for which there are
    /// enough samples.
    pub(crate) fn usual(&self, requests: u32) -> Option<f64> {
        let bucket = bucket_of(requests);
        for distance in 0..BUCKETS {
            let above = self.buckets.get(bucket + distance).and_then(SampleRing::median);
            let below = bucket.checked_sub(distance).and_then(|index| self.buckets[index].median());
            if let Some(time_s) = above.or(below) {
                return Some(time_s);
            }
        }
        None
    }
}

fn bucket_of(requests: u32) -> usize {
    (requests as usize / BUCKET_REQUESTS).min(BUCKETS - 1)
}
