//! Guard that counts a reader of a generation.

use std::sync::Arc;

use crate::generation::GenerationBuffer;

/// Counts a reader of a generation until it is dropped. A generation without readers is abandoned
/// after a while.
pub(crate) struct ReaderGuard {
    buffer: Arc<GenerationBuffer>,
    is_handed_over: bool,
}

impl ReaderGuard {
    /// Adds a reader to `buffer`.
    pub(crate) fn new(buffer: Arc<GenerationBuffer>) -> ReaderGuard {
        buffer.reader_joined();
        ReaderGuard { buffer, is_handed_over: false }
    }

    /// Returns the buffer.
    pub(crate) fn buffer(&self) -> &Arc<GenerationBuffer> {
        &self.buffer
    }

    /// Removes the reader because it continues at another VM. Returns false if it can't yet.
    pub(crate) fn hand_over(&mut self) -> bool {
        if !self.is_handed_over {
            self.is_handed_over = self.buffer.hand_over_reader();
        }
        self.is_handed_over
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        if !self.is_handed_over {
            self.buffer.reader_left();
        }
    }
}
