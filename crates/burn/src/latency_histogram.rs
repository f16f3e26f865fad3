//! Latency histogram that can be serialized and merged.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Significant decimal digits. With two, percentiles are within 1% and a histogram takes less than
/// 32 KiB.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Highest recorded time, one day; longer times are recorded as this.
const HIGHEST_US: u64 = 86_400_000_000;

/// Histogram of times in microseconds. It is serialized as a list of (time, count) pairs, so that a
/// reader needs no HDR histogram library. All histograms have the same bounds, so a round trip
/// loses nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub fn new() -> LatencyHistogram {
        let bounded = Histogram::new_with_bounds(1, HIGHEST_US, SIGNIFICANT_DIGITS);
        LatencyHistogram(bounded.expect("the bounds are constants that the library accepts"))
    }

    /// Adds `count` events of the given duration.
    pub fn record(&mut self, duration: Duration, count: u64) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(HIGHEST_US);
        self.0.saturating_record_n(micros, count);
    }

    /// Adds the events of another histogram.
    pub fn merge(&mut self, other: &LatencyHistogram) {
        for value in other.0.iter_recorded() {
            self.0
                .saturating_record_n(value.value_iterated_to(), value.count_since_last_iteration());
        }
    }

    /// Returns the number of events.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the duration at `quantile`, from 0 to 1, or `None` if there are no events.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.0.is_empty() {
            return None;
        }
        Some(Duration::from_micros(self.0.value_at_quantile(quantile)))
    }
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram::new()
    }
}

impl From<Vec<(u64, u64)>> for LatencyHistogram {
    fn from(pairs: Vec<(u64, u64)>) -> LatencyHistogram {
        let mut histogram = LatencyHistogram::new();
        for (micros, count) in pairs {
            histogram.0.saturating_record_n(micros, count);
        }
        histogram
    }
}

impl From<LatencyHistogram> for Vec<(u64, u64)> {
    fn from(histogram: LatencyHistogram) -> Vec<(u64, u64)> {
        let recorded = histogram.0.iter_recorded();
        recorded
            .map(|value| (value.value_iterated_to(), value.count_since_last_iteration()))
            .collect()
    }
}
