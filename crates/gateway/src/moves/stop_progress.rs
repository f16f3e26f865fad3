//! Progress of the calls that stop a generation at its engine.

use crate::moves::{CallEvent, StopAnswer};

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
    /// Records what happened in a call.
    pub(super) fn note_event(&mut self, event: CallEvent) {
        match event {
            CallEvent::Withdrawn => {}
            CallEvent::Connected => self.open += 1,
            CallEvent::Ended { was_connected, is_unclear, answer } => {
                self.open -= u32::from(was_connected);
                self.is_unclear = is_unclear;
                if let Some(answer) = answer {
                    self.note_answer(answer);
                }
            }
        }
    }

    /// Records an answer. One with retained memory replaces one without.
    fn note_answer(&mut self, answer: StopAnswer) {
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
