//! Rate at which engine memory becomes free.

use std::time::Duration;

use dragonflycart_core::MonoTime;

/// Time constant of the average. It covers about one long generation, so that the rate is not zero
/// between the ends of two.
const AVERAGE_TIME: Duration = Duration::from_secs(5);

/// Exponentially decaying average of the tokens that end of generations frees per second.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FreedRate {
    tokens: f64,
    samples: f64,
    updated_at: MonoTime,
    first_at: Option<MonoTime>,
}

impl FreedRate {
    /// Records that the end of a generation freed `tokens`.
    pub fn note(&mut self, tokens: u64, now: MonoTime) {
        let factor = self.factor(now);
        self.tokens = self.tokens * factor + tokens as f64;
        self.samples = self.samples * factor + 1.0;
        self.updated_at = self.updated_at.max(now);
        self.first_at.get_or_insert(now);
    }

    /// Returns the tokens freed per second.
    pub fn per_second(&self, now: MonoTime) -> f64 {
        let Some(first_at) = self.first_at else { return 0.0 };
        // The average covers only the time since the first sample, but at least a second: the first
        // sample alone says nothing about the rate.
        let age = now.since(first_at).max(Duration::from_secs(1)).as_secs_f64();
        let constant = AVERAGE_TIME.as_secs_f64();
        let covered = constant * (1.0 - (-age / constant).exp());
        self.tokens * self.factor(now) / covered
    }

    /// Returns the number of samples, of which older ones count less.
    pub fn samples(&self, now: MonoTime) -> f64 {
        self.samples * self.factor(now)
    }

    fn factor(&self, now: MonoTime) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / AVERAGE_TIME.as_secs_f64()).exp()
    }
}
