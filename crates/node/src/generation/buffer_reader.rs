//! Presence of a caller that reads a generation.

use std::sync::Arc;

use crate::generation::GenerationBuffer;

/// Presence of a caller that reads a generation. While one exists, the generation is wanted.
pub(crate) struct BufferReader {
    buffer: Arc<GenerationBuffer>,
}

impl BufferReader {
    /// Counts a reader of `buffer`.
    pub(crate) fn new(buffer: Arc<GenerationBuffer>) -> BufferReader {
        buffer.reader_joined();
        BufferReader { buffer }
    }

    /// Returns the buffer.
    pub(crate) fn buffer(&self) -> &Arc<GenerationBuffer> {
        &self.buffer
    }
}

impl Drop for BufferReader {
    fn drop(&mut self) {
        self.buffer.reader_left();
    }
}
