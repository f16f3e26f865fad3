//! Usual time of a piece of work by the number of requests.

use dragonflycart_core::MonoTime;

use crate::sample_ring::SampleRing;

/// Number of requests that share a median.
const BUCKET_REQUESTS: usize = 2;
/// Number of medians; the last one also covers more requests.
const BUCKETS: usize = 16;

/// Number of servers whose samples a median should cover. A server that is alone at its number of
/// requests would be compared with itself, and a change of its speed would be taken as usual.
const SERVERS_WANTED: usize = 3;

/// Usual time of a piece of work at a server of the service, by the number of requests there.
#[derive(Debug, Clone)]
pub(crate) struct TimeModel<K> {
    buckets: Vec<SampleRing<K>>,
    /// Usual time for each bucket, computed when a sample is added.
    usual: [Option<f64>; BUCKETS],
}

impl<K: Copy + Ord> Default for TimeModel<K> {
    fn default() -> TimeModel<K> {
        TimeModel { buckets: vec![SampleRing::default(); BUCKETS], usual: [None; BUCKETS] }
    }
}

impl<K: Copy + Ord> TimeModel<K> {
    /// Adds a time.
    pub(crate) fn push(&mut self, server: K, requests: u32, time_s: f64, now: MonoTime) {
        self.buckets[bucket_of(requests)].push(server, time_s, now);
        for bucket in 0..BUCKETS {
            self.usual[bucket] = self.nearest(bucket);
        }
    }

    /// Returns the usual time in seconds, at the nearest number of requests for which there are
    /// samples of enough servers or, if there are none, of any.
    pub(crate) fn usual(&self, requests: u32) -> Option<f64> {
        self.usual[bucket_of(requests)]
    }

    fn nearest(&self, bucket: usize) -> Option<f64> {
        let mut nearest = None;
        for distance in 0..BUCKETS {
            let above = self.buckets.get(bucket + distance);
            let below = bucket.checked_sub(distance).map(|index| &self.buckets[index]);
            for ring in [above, below].into_iter().flatten() {
                let Some(time_s) = ring.median() else { continue };
                if ring.server_count() >= SERVERS_WANTED {
                    return Some(time_s);
                }
                nearest = nearest.or(Some(time_s));
            }
        }
        nearest
    }
}

fn bucket_of(requests: u32) -> usize {
    (requests as usize / BUCKET_REQUESTS).min(BUCKETS - 1)
}
