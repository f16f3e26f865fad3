//! Ramp-up of restarted engines.

use super::Simulation;

impl Simulation {
    /// Records the time at which a restarted engine runs at least 0.9 times as many requests as the
    /// warm engines on average.
    pub(super) fn observe_ramp(&mut self, engine: usize) {
        if !self.ramping[engine] {
            return;
        }
        let (mut warm, mut load) = (0, 0);
        for other in &self.engines {
            if other.is_alive() && !other.is_cold(self.now) {
                warm += 1;
                load += other.running();
            }
        }
        if warm == 0 || f64::from(self.engines[engine].running()) < 0.9 * f64::from(load / warm) {
            return;
        }
        self.ramping[engine] = false;
        let started = self.cold_start[engine].unwrap_or(self.now);
        self.metrics.ramp_times.push(self.now - started);
    }
}
