//! Phases of a relayed stream.

use strum::{FromRepr, IntoStaticStr};

/// What a stream whose head was sent to the caller waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, FromRepr, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum StreamPhase {
    /// The next event of its engine.
    #[default]
    Reading,
    /// The answer of the engine that was told to stop the generation.
    Stopping,
    /// The response of the engine at which the stopped generation resumes.
    Resuming,
    /// An engine that runs the request again.
    Repeating,
    /// Its caller, which has not received the rest.
    Delivering,
}
