//! Requests of one route in a workload.

use dragonflycart_policy::PriorityClass;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Requests of one route in a workload. Lengths are in tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteProfile {
    /// Name of the route.
    pub name: &'static str,
    /// Priority class.
    pub class: PriorityClass,
    /// Share of this route in all requests.
    pub share: f64,
    /// Mean length of a prompt.
    pub mean_prompt: f64,
    /// Median output length.
    pub median_output: f64,
    /// Standard deviation of the logarithm of the output length.
    pub output_sigma: f64,
    /// Longest output.
    pub max_output: u32,
    /// Time from submission to deadline, in milliseconds.
    pub time_to_deadline: f64,
}

/// Draws from the standard normal distribution.
fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

impl RouteProfile {
    /// Draws an output length from a log-normal distribution whose median is multiplied by `scale`.
    pub fn draw_length(&self, scale: f64, rng: &mut ChaCha8Rng) -> u32 {
        let length = self.median_output * scale * (self.output_sigma * standard_normal(rng)).exp();
        (length as u32).clamp(1, self.max_output)
    }

    /// Draws a prompt length, uniform between half and one and a half times the mean.
    pub fn draw_prompt(&self, rng: &mut ChaCha8Rng) -> u32 {
        (self.mean_prompt * rng.random_range(0.5..1.5)) as u32 + 1
    }
}
