//! Failure and slowness rates of one version in the version move experiment.

/// Failure and slowness rates of one version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MovesRates {
    /// Probability that a request fails.
    pub failed: f64,
    /// Probability that a request that does not fail is slow.
    pub slow: f64,
}
