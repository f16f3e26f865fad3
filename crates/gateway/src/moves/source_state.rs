//! What is known of a generation at the engine before.
//!
//! Only an answer of the engine proves that a generation does not run there, or an address at which
//! nothing listens while no other connection is open. A stream without events, a connection that was closed or reset, a call without
//! an answer and a full queue of new connections prove nothing as long as the engine is heard on any
//! connection. See `docs/design/ended-runs.md`.

use crate::CopyResponse;

/// What is known of a generation at its engine when it is about to go on elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum SourceState {
    /// The engine has stopped it and retains its memory.
    Stopped,
    /// The engine has stated that it does not run it.
    NotRunning,
    /// Nothing listens at the engine's address, so the process has ended, or a partition rejects
    /// connections. It is told to stop as long as it is registered.
    Exited,
    /// The engine did not answer, and was silent on all connections for as long as a stream is until
    /// it counts as stalled. It is told to stop until it answers.
    Unreached,
    /// Engines of the service have no call that stops a generation, only closed connections.
    NotTold,
}

impl SourceState {
    /// Returns the state that the response to a final copy shows, if it does.
    pub(crate) fn after_final_copy(response: &CopyResponse) -> Option<SourceState> {
        match response {
            CopyResponse::Copied { .. } | CopyResponse::NoRoom { handle: Some(_) } => {
                Some(SourceState::Stopped)
            }
            CopyResponse::Unknown => Some(SourceState::NotRunning),
            CopyResponse::Busy | CopyResponse::NoRoom { handle: None } => None,
        }
    }
}
