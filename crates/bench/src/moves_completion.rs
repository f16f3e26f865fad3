//! Completed requests of the version move experiment.

use dragonflycart_policy::MoveCounts;

/// One completed request.
#[derive(Debug, Clone, Copy)]
pub struct MovesCompletion {
    /// VM that sent the request.
    pub vm: usize,
    /// Route.
    pub route: usize,
    /// Version that served it: 0 for the old one, 1 for the new one.
    pub side: usize,
    /// Time at which the request started, in seconds since the start of the move.
    pub started: f64,
    /// Counters of this request's outcome.
    pub counts: MoveCounts,
}
