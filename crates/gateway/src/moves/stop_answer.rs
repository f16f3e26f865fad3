//! Answer of an engine that was told to stop a generation.

use crate::{CopyResponse, moves::SourceState};

/// Answer that shows that a generation does not run at its engine.
#[derive(Debug, Clone)]
pub(crate) struct StopAnswer {
    /// What the answer shows.
    pub(crate) state: SourceState,
    /// Response to the final copy; `None` if nothing listens at the engine's address.
    pub(crate) copy: Option<CopyResponse>,
    /// Whether it answers the first call, so that no earlier call can have stopped the generation.
    pub(crate) is_first: bool,
}

impl StopAnswer {
    /// Returns the handle of the memory that the engine retains.
    pub(crate) fn handle(&self) -> Option<&str> {
        match self.copy.as_ref()? {
            CopyResponse::Copied { handle } | CopyResponse::NoRoom { handle: Some(handle) } => {
                Some(handle)
            }
            CopyResponse::NoRoom { handle: None } | CopyResponse::Unknown | CopyResponse::Busy => {
                None
            }
        }
    }
}
