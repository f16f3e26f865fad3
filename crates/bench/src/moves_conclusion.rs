//! Concluded requests of the version move experiment.

use dragonflycart_policy::MoveCounts;

/// One concluded request.
#[derive(Debug, Clone, Copy)]
pub struct MovesConclusion {
    /// VM that sent the request.
    pub vm: usize,
    /// Route.
    pub route: usize,
    /// Version: 0 old, 1 new.
    pub side: usize,
    /// Start of the request.
    pub started: f64,
    /// Outcome.
    pub counts: MoveCounts,
}
