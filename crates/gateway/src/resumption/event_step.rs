//! What happens to an event of a run.

/// What happens to an event of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventStep {
    /// It is forwarded.
    Forward,
    /// It was forwarded before.
    Skip,
    /// Events before it are missing, or it can't be told whether it was forwarded before.
    Gap,
}
