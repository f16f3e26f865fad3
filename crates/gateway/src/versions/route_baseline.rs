//! Recent results of one route.

use std::collections::VecDeque;

use crate::UsualResults;

/// Number of samples kept of each kind.
const SAMPLES: usize = 48;

/// Recent results of one route. Medians are used, so that a few slow servers do not make slowness
/// usual.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteBaseline {
    times_ms: VecDeque<f64>,
    pauses_ms: VecDeque<f64>,
    results: VecDeque<bool>,
}

impl RouteBaseline {
    /// Adds the time to a response, in milliseconds.
    pub fn note_time(&mut self, time_ms: f64) {
        push_sample(&mut self.times_ms, time_ms);
    }

    /// Adds the average pause between the first events of a stream, in milliseconds.
    pub fn note_pause(&mut self, pause_ms: f64) {
        push_sample(&mut self.pauses_ms, pause_ms);
    }

    /// Adds a result.
    pub fn note_result(&mut self, is_bad: bool) {
        push_sample(&mut self.results, is_bad);
    }

    /// Returns the usual results.
    pub fn usual(&self) -> UsualResults {
        UsualResults {
            time_ms: median(&self.times_ms),
            pause_ms: median(&self.pauses_ms),
            bad: self.results.iter().filter(|is_bad| **is_bad).count() as u64,
            total: self.results.len() as u64,
        }
    }
}

fn push_sample<T>(samples: &mut VecDeque<T>, sample: T) {
    if samples.len() == SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// Returns the median, or zero if there is no sample.
fn median(samples: &VecDeque<f64>) -> f64 {
    let mut sorted: Vec<f64> = samples.iter().copied().collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}
