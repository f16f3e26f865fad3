//! How a stream ended, or why it is recovered.

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RelayEnd {
    /// The whole stream was sent to the caller.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The connection to the engine was lost.
    Broken,
    /// The engine sent no event for too long.
    Silent,
    /// Event IDs are missing in the sequence.
    Gap,
    /// The request's deadline passed.
    TimedOut,
    /// There was no memory for an event.
    NoMemory,
}
