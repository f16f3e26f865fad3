//! Median of recent samples.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use dragonflycart_core::MonoTime;

/// Maximum number of samples kept.
const SAMPLES_KEPT: usize = 48;
/// Minimum number of samples for a median.
const LEAST_SAMPLES: usize = 4;
/// Time for which a sample is kept.
const SAMPLE_AGE: Duration = Duration::from_secs(60);

/// Recent samples of several servers and their median. The median is computed when a sample is
/// added, since it is read for each candidate of each placement.
#[derive(Debug, Clone)]
pub(crate) struct SampleRing<K> {
    samples: VecDeque<(MonoTime, K, f64)>,
    median: Option<f64>,
    servers: usize,
}

impl<K> Default for SampleRing<K> {
    fn default() -> SampleRing<K> {
        SampleRing { samples: VecDeque::new(), median: None, servers: 0 }
    }
}

impl<K: Copy + Ord> SampleRing<K> {
    /// Adds a sample.
    pub(crate) fn push(&mut self, server: K, value: f64, now: MonoTime) {
        self.samples.push_back((now, server, value));
        while self.samples.len() > SAMPLES_KEPT
            || self.samples.front().is_some_and(|(at, ..)| now.since(*at) > SAMPLE_AGE)
        {
            self.samples.pop_front();
        }
        if self.samples.len() < LEAST_SAMPLES {
            return;
        }
        let servers: BTreeSet<K> = self.samples.iter().map(|(_, server, _)| *server).collect();
        self.servers = servers.len();
        let mut values: Vec<f64> = self.samples.iter().map(|(.., value)| *value).collect();
        let middle = values.len() / 2;
        let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
        self.median = Some(*median);
    }

    /// Returns the median, or `None` if there were too few samples.
    pub(crate) fn median(&self) -> Option<f64> {
        self.median
    }

    /// Returns the number of servers whose samples the median covers.
    pub(crate) fn server_count(&self) -> usize {
        self.servers
    }
}
