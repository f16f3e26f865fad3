//! What a step of the engine results in.

/// What a step of the engine resulted in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// One more token of a request.
    Token(usize),
    /// A request reached its length.
    Finished(usize),
    /// A request was preempted.
    Preempted(usize),
}
