//! Progress of the calls that stop a generation at its engine.

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

/// Progress of the calls.
#[derive(Debug, Clone, Default)]
pub(crate) struct StopProgress {
    /// Number of calls that are connected and have no answer yet.
    pub(crate) open: u32,
    /// Whether the last call that ended was answered without showing that the generation is stopped.
    pub(crate) is_unclear: bool,
    /// Answer that shows that it does not run, if there is one.
    pub(crate) answer: Option<StopAnswer>,
}

impl StopProgress {
    /// Records an answer. One with retained memory replaces one without.
    pub(crate) fn note_answer(&mut self, answer: StopAnswer) {
        if self.retained().is_none() {
            self.answer = Some(answer);
        }
    }

    /// Returns the handle of the memory that the engine retains.
    pub(crate) fn retained(&self) -> Option<&str> {
        self.answer.as_ref()?.handle()
    }

    /// Returns whether it is known if the engine retains the memory.
    pub(crate) fn is_settled(&self) -> bool {
        self.open == 0 || self.retained().is_some()
    }
}
