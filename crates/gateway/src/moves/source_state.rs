//! What is known of a generation at the engine before.
//!
//! Only an answer of the engine proves that a generation does not run there, or an address at which
//! nothing listens while no other connection is open. "No such run" proves it only for a response that
//! has ended. A stream without events, a connection that was closed or reset, a call without
//! an answer and a full queue of new connections prove nothing as long as the engine is heard on any
//! connection. See `docs/design/ended-runs.md`.

use crate::CopyResponse;

/// What is known of a generation at its engine when it is about to go on elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum SourceState {
    /// The engine has stopped it and retains its memory.
    Stopped,
    /// The engine has stated that it does not run it, and its response has ended.
    NotRunning,
    /// The engine has stated that it does not run it, but its response is still open: it may have
    /// preempted the generation, and run it again later. It is told to stop until it has.
    Preempted,
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
    /// Returns the state that the response to a final copy shows, if it does. `is_response_open` tells
    /// whether the engine has not ended the generation's response.
    pub(crate) fn after_final_copy(
        response: &CopyResponse,
        is_response_open: bool,
    ) -> Option<SourceState> {
        match response {
            CopyResponse::Copied { .. } | CopyResponse::NoRoom { handle: Some(_) } => {
                Some(SourceState::Stopped)
            }
            CopyResponse::Unknown if is_response_open => Some(SourceState::Preempted),
            CopyResponse::Unknown => Some(SourceState::NotRunning),
            CopyResponse::Busy | CopyResponse::NoRoom { handle: None } => None,
        }
    }

    /// Returns whether the engine may run the generation later, so that it is told again.
    pub(crate) fn is_provisional(self) -> bool {
        matches!(self, SourceState::Exited | SourceState::Preempted)
    }
}
