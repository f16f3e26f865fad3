//! Outcome of a cancelled generation.

/// What an engine says about a generation that it was asked to cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The engine does not work on the generation any more.
    Cancelled,
    /// The engine does not know the generation. A start that is still on its way may begin it.
    Unknown,
}
