//! Events of an engine step.

/// Event of an engine step. The number is that of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// The engine generated one more token of a request.
    Token(usize),
    /// The engine generated the last token of a request.
    Finished(usize),
    /// The engine preempted a request, which then waits in the engine again.
    Preempted(usize),
}
