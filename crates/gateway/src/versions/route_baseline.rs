//! Usual results of one route.

use std::collections::VecDeque;

/// Number of samples kept of each kind.
const SAMPLES: usize = 48;
/// Number of samples from which a baseline is not updated during a version move.
const SETTLED_SAMPLES: usize = 16;
/// Multiple of the median from which a time is slow.
const SLOW_FACTOR: f64 = 3.0;
/// Additional time allowed, in milliseconds. Short times vary by this much.
const SLOW_MARGIN_MS: f64 = 30.0;

/// Recent results of one route. Medians are used, so that a few slow servers do not make slowness
/// usual.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteBaseline {
    times_ms: VecDeque<f64>,
    paces_ms: VecDeque<f64>,
    results: VecDeque<bool>,
}

impl RouteBaseline {
    /// Adds the time to a response, in milliseconds.
    pub fn note_time(&mut self, time_ms: f64) {
        push_sample(&mut self.times_ms, time_ms);
    }

    /// Adds the average pause between the first events of a stream, in milliseconds.
    pub fn note_pace(&mut self, pause_ms: f64) {
        push_sample(&mut self.paces_ms, pause_ms);
    }

    /// Adds a result.
    pub fn note_result(&mut self, is_bad: bool) {
        push_sample(&mut self.results, is_bad);
    }

    /// Returns whether there are enough results for a comparison.
    pub fn is_settled(&self) -> bool {
        self.results.len() >= SETTLED_SAMPLES
    }

    /// Returns whether a response is slow if it takes this long, in milliseconds.
    pub fn is_slow_time(&self, time_ms: f64) -> bool {
        is_slow(&self.times_ms, time_ms)
    }

    /// Returns whether a stream is slow if its pauses are this long, in milliseconds.
    pub fn is_slow_pace(&self, pause_ms: f64) -> bool {
        is_slow(&self.paces_ms, pause_ms)
    }

    /// Returns the share of bad results, if there are enough.
    pub fn bad_share(&self) -> Option<f64> {
        let bad = self.results.iter().filter(|is_bad| **is_bad).count();
        self.is_settled().then(|| bad as f64 / self.results.len() as f64)
    }
}

fn push_sample<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

fn is_slow(samples_ms: &VecDeque<f64>, time_ms: f64) -> bool {
    let mut sorted: Vec<f64> = samples_ms.iter().copied().collect();
    sorted.sort_by(f64::total_cmp);
    let median_ms = sorted.get(sorted.len() / 2);
    median_ms.is_some_and(|median_ms| time_ms > SLOW_FACTOR * median_ms + SLOW_MARGIN_MS)
}
