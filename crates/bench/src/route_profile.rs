//! Kind of request in a workload.

use dragonflycart_policy::PriorityClass;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Kind of request in a workload.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteProfile {
    /// Name of the route.
    pub name: &'static str,
    /// Priority class.
    pub class: PriorityClass,
    /// Share of the requests.
    pub share: f64,
    /// Mean length of a prompt.
    pub prompt: f64,
    /// Median output length.
    pub median: f64,
    /// Spread of the logarithm of the output length.
    pub sigma: f64,
    /// Longest output.
    pub longest: u32,
    /// Time from submission to deadline, in milliseconds.
    pub patience: f64,
}

/// Returns a normally distributed value.
fn normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

impl RouteProfile {
    /// Draws an output length; `scale` shifts the distribution.
    pub fn draw_length(&self, scale: f64, random: &mut ChaCha8Rng) -> u32 {
        let length = self.median * scale * (self.sigma * normal(random)).exp();
        (length as u32).clamp(1, self.longest)
    }

    /// Draws a prompt length, uniform between half and one and a half times the mean.
    pub fn draw_prompt(&self, random: &mut ChaCha8Rng) -> u32 {
        (self.prompt * random.random_range(0.5..1.5)) as u32 + 1
    }
}
