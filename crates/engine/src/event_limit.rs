//! Bound on the size of one event of a stream.

use bytes::Bytes;

/// Largest accepted event. The parser buffers until an event is complete, so a server that never
/// ends one would otherwise claim memory without bound.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// The event exceeds the limit, or the connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EventSourceError {
    TooLarge,
    Transport,
}

/// Counts the bytes since the last end of an event.
#[derive(Debug, Default)]
pub(crate) struct EventLimit {
    pending_bytes: usize,
    ends_with_newline: bool,
}

impl EventLimit {
    /// Passes on one chunk of the body.
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
        if self.pending_bytes > EVENT_LIMIT_BYTES {
            return Err(EventSourceError::TooLarge);
        }
        Ok(chunk)
    }
}
