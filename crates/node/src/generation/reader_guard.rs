//! Presence of a caller that reads a generation.

use std::sync::Arc;

use crate::generation::GenerationBuffer;

/// Presence of a caller that reads a generation. While one exists, the generation is wanted.
pub(crate) struct ReaderGuard {
    buffer: Arc<GenerationBuffer>,
}

impl ReaderGuard {
    /// Counts a reader of `buffer`.
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
