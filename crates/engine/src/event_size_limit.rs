//! Limit on the size of one event of a stream.

use bytes::Bytes;

/// Largest accepted event. The parser buffers an event until it is complete, so without a limit a
/// server that never ends one would exhaust the memory.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why no more events can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EventSourceError {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    TooLarge,
    /// The connection failed.
    Transport,
}

/// Counts the bytes of the event that is being received. An empty line ends an event.
#[derive(Debug, Default)]
pub(crate) struct EventSizeLimit {
    pending_bytes: usize,
    ends_with_newline: bool,
}

impl EventSizeLimit {
    /// Returns `chunk`, or an error if the current event exceeds the limit with it.
    pub(crate) fn check_chunk<E>(
        &mut self,
        chunk: Result<Bytes, E>,
    ) -> Result<Bytes, EventSourceError> {
        let chunk = chunk.map_err(|_| EventSourceError::Transport)?;
        let event_ended = chunk.windows(2).any(|pair| pair == b"\n\n")
            || (self.ends_with_newline && chunk.starts_with(b"\n"));
        self.pending_bytes = if event_ended { 0 } else { self.pending_bytes + chunk.len() };
        if let Some(last) = chunk.last() {
            self.ends_with_newline = *last == b'\n';
        }
        if self.pending_bytes > MAX_EVENT_BYTES {
            return Err(EventSourceError::TooLarge);
        }
        Ok(chunk)
    }
}
