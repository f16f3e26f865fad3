//! Guard that counts a reader of a generation.

use std::sync::Arc;

use crate::generation::GenerationBuffer;

/// Counts a reader of a generation until it is dropped. A generation without readers is abandoned
/// after a while.
pub(crate) struct ReaderGuard {
    buffer: Arc<GenerationBuffer>,
}

impl ReaderGuard {
    /// Adds a reader to `buffer`.
    pub(crate) fn new(buffer: Arc<GenerationBuffer>) -> ReaderGuard {
        buffer.reader_joined();
        ReaderGuard { buffer }
    }

    /// Returns the buffer.
    pub(crate) fn buffer(&self) -> &Arc<GenerationBuffer> {
        &self.buffer
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.buffer.reader_left();
    }
}
