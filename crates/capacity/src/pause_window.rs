//! Collects the pauses between events of a stream.

use dragonflycart_core::MonoTime;

use crate::PauseSample;

/// Number of pauses in a sample. A long stream has more than ten times as many.
const PAUSES: usize = 16;

/// Collects the pauses of one stream at one server.
#[derive(Debug, Clone, Default)]
pub struct PauseWindow {
    last_at: Option<MonoTime>,
    micros: Vec<u64>,
}

impl PauseWindow {
    /// Records an event. Returns a sample once there are enough pauses since the last one.
    pub fn note_event(&mut self, now: MonoTime) -> Option<PauseSample> {
        if let Some(last) = self.last_at.replace(now) {
            self.micros.push(now.since(last).as_micros() as u64);
        }
        if self.micros.len() < PAUSES {
            return None;
        }
        self.micros.sort_unstable();
        let pause = |index: usize| std::time::Duration::from_micros(self.micros[index]);
        let sample = PauseSample { usual: pause(PAUSES / 2), heavy: pause(PAUSES - PAUSES / 8) };
        self.micros.clear();
        Some(sample)
    }
}
