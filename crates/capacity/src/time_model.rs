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
/// Minimum number of servers with which a median says something about the speed of each.
const LEAST_SERVERS: usize = 2;

/// Usual time of a piece of work at a server of the service, by the number of requests there.
#[derive(Debug, Clone)]
pub(crate) struct TimeModel<K> {
    buckets: Vec<SampleRing<K>>,
    /// Usual time for each bucket and the number of servers whose samples it covers, computed when
    /// a sample is added.
    usual: [Option<(f64, usize)>; BUCKETS],
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
        self.usual[bucket_of(requests)].map(|(time_s, _)| time_s)
    }

    /// Returns whether the usual time covers several servers. A server that is alone would be
    /// compared with itself.
    pub(crate) fn covers_several(&self, requests: u32) -> bool {
        self.usual[bucket_of(requests)].is_some_and(|(_, servers)| servers >= LEAST_SERVERS)
    }

    fn nearest(&self, bucket: usize) -> Option<(f64, usize)> {
        let mut nearest: Option<(f64, usize)> = None;
        for distance in 0..BUCKETS {
            let above = self.buckets.get(bucket + distance);
            let below = bucket.checked_sub(distance).map(|index| &self.buckets[index]);
            for ring in [above, below].into_iter().flatten() {
                let Some(time_s) = ring.median() else { continue };
                let servers = ring.server_count();
                if servers >= SERVERS_WANTED {
                    return Some((time_s, servers));
                }
                if nearest.is_none_or(|(_, known)| known < servers.min(LEAST_SERVERS)) {
                    nearest = Some((time_s, servers));
                }
            }
        }
        nearest
    }
}

fn bucket_of(requests: u32) -> usize {
    (requests as usize / BUCKET_REQUESTS).min(BUCKETS - 1)
}
