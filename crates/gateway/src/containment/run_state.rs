//! Whether an engine's process runs.

/// What a check of an engine showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The engine accepts connections.
    Running,
    /// Nothing listens at its address.
    Ended,
    /// It can't be reached.
    Unknown,
}
