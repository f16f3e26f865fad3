//! Estimates how long the generations of a service take.

use std::time::Duration;

use crate::TokenDemand;

/// Weight of a new sample in the moving averages, which thus cover about ten samples.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Exponential moving averages over the generations of one service that this VM relays.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct GenerationTiming {
    first_event_s: Option<f64>,
    /// Time from the reservation of an engine to the first event.
    start_s: Option<f64>,
    token_s: Option<f64>,
}

impl GenerationTiming {
    /// Records the time from a generation's arrival to its first event.
    pub fn note_first_event(&mut self, time: Duration) {
        update_average(&mut self.first_event_s, time.as_secs_f64());
    }

    /// Records the time from the reservation of an engine to the first event.
    pub fn note_start(&mut self, time: Duration) {
        update_average(&mut self.start_s, time.as_secs_f64());
    }

    /// Returns the expected time from the reservation of an engine to the first event.
    pub fn expected_start(&self) -> Option<Duration> {
        self.start_s.map(Duration::from_secs_f64)
    }

    /// Records the time in which a generation produced `tokens` output tokens.
    pub fn note_tokens(&mut self, tokens: u64, time: Duration) {
        update_average(&mut self.token_s, time.as_secs_f64() / tokens.max(1) as f64);
    }

    /// Returns the expected time from the arrival of a generation to its first event, or `None` if
    /// there are no samples.
    pub fn expected_first_event(&self) -> Option<Duration> {
        self.first_event_s.map(Duration::from_secs_f64)
    }

    /// Returns the expected time from the arrival of a generation to its end, or `None` if there
    /// are not enough samples.
    pub fn expected_time(&self, demand: TokenDemand) -> Option<Duration> {
        let making_s = self.token_s? * demand.expected_tokens() as f64;
        Some(Duration::from_secs_f64(self.first_event_s? + making_s))
    }
}

fn update_average(average: &mut Option<f64>, sample: f64) {
    let old = *average.get_or_insert(sample);
    *average = Some(old + AVERAGE_WEIGHT * (sample - old));
}
