//! Speed of a server by the results of one VM.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Maximum number of samples that count, which is the weight of an estimate.
pub(crate) const SAMPLES_COUNTED: u32 = 16;
/// Minimum weight of a new sample.
const LEAST_WEIGHT: f64 = 0.08;
/// Maximum part of a sample's difference that counts, as a logarithm: a factor of 1.65. A single
/// sample may be wrong by any factor.
const DIFFERENCE_LIMIT: f64 = 0.5;
/// Time without samples after which an estimate begins to fade.
const FADE_START: Duration = Duration::from_secs(10);
/// Time in which it then fades to a third.
const FADE_S: f64 = 10.0;
/// Time in which the weight of an estimate falls to a third.
const WEIGHT_AGE_S: f64 = 5.0;

/// Estimate of the logarithm of a server's speed relative to what is usual for its service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SpeedEstimate {
    pub(crate) log: f64,
    pub(crate) samples: u32,
    pub(crate) at: Option<MonoTime>,
}

impl SpeedEstimate {
    /// Adds a sample. The first samples are averaged with the initial speed of 1.0.
    pub(crate) fn note(&mut self, log: f64, now: MonoTime) {
        let kept = self.at.map_or(0.0, |at| kept_share(now.since(at)));
        self.log *= kept;
        self.samples = (f64::from(self.samples) * kept) as u32;
        let weight = (1.0 / f64::from(self.samples + 2)).max(LEAST_WEIGHT);
        let difference = (log - self.log).clamp(-DIFFERENCE_LIMIT, DIFFERENCE_LIMIT);
        self.log += weight * difference;
        self.samples = (self.samples + 1).min(SAMPLES_COUNTED);
        self.at = Some(now);
    }

    /// Returns the weight of the estimate among those of several VMs.
    pub(crate) fn weight(&self, now: MonoTime) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let samples = f64::from(self.samples.min(SAMPLES_COUNTED));
        samples * (-now.since(at).as_secs_f64() / WEIGHT_AGE_S).exp()
    }

    /// Returns whether the estimate is too old to count.
    pub(crate) fn is_outdated(&self, now: MonoTime) -> bool {
        self.at.is_none_or(|at| now.since(at) > FADE_START)
    }
}

/// Returns the share of an estimate that is kept after a time without samples.
pub(crate) fn kept_share(age: Duration) -> f64 {
    if age <= FADE_START {
        return 1.0;
    }
    (-age.saturating_sub(FADE_START).as_secs_f64() / FADE_S).exp()
}
