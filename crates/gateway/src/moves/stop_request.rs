//! Request to an engine to stop a generation.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Whether an engine was asked to stop a generation, for the final copy of its memory. Shared between
/// the generation's move and its relay: once the engine was asked, the end of its response does not
/// show that the generation is complete.
#[derive(Debug, Clone, Default)]
pub(crate) struct StopRequest(Arc<AtomicBool>);

impl StopRequest {
    /// Records that the engine is about to be asked.
    pub(crate) fn note_asked(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Records that the engine has stated that it was not running the generation any more, so that
    /// its response had ended by itself.
    pub(crate) fn note_ended_before(&self) {
        self.0.store(false, Ordering::Release);
    }

    /// Returns whether the engine may have stopped the generation.
    pub(crate) fn is_open(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
