//! Splits the bytes of a server-sent event stream into events.

use bytes::{Bytes, BytesMut};

use crate::ConnectionError;

/// Maximum size of an event, in bytes.
const EVENT_LIMIT_BYTES: usize = 256 * 1024;

/// One event of a stream, including the empty line that terminates it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Value of its `id` field, if it is a number.
    pub id: Option<u64>,
    /// Bytes as received.
    pub bytes: Bytes,
}

impl StreamEvent {
    /// Returns whether the event consists of comments and empty lines, which carry nothing.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
        lines.all(|line| line.is_empty() || line[0] == b':')
    }
}

/// Buffers bytes until events are complete, so that a truncated event is never forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of leading bytes already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::Malformed`] if an event is too large.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, ConnectionError> {
        let Some(end) = self.find_end() else {
            if self.buffer.len() > EVENT_LIMIT_BYTES {
                return Err(ConnectionError::Malformed);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        Ok(Some(StreamEvent { id: event_id(&bytes), bytes }))
    }

    /// Returns the number of bytes in the buffer.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the buffer contains an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        for (offset, byte) in bytes[self.searched..].iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let end = self.searched + offset + 1;
            if bytes[..end].ends_with(b"\n\n") || bytes[..end].ends_with(b"\r\n\r\n") {
                return Some(end);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Returns the number in the text of an event ID. The largest number is rejected, since no event
/// could follow it.
pub fn event_number(text: &str) -> Option<u64> {
    text.parse().ok().filter(|number| *number < u64::MAX)
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    for line in bytes.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else { continue };
        return event_number(std::str::from_utf8(value).ok()?.trim());
    }
    None
}
