//! Decoder of chunked transfer encoding.

use bytes::{Buf, Bytes, BytesMut};

use crate::ConnectionError;

/// Maximum length of a chunk size line, without its end, in bytes.
const SIZE_LINE_LIMIT: usize = 256;
/// Maximum size of the trailer section, without the ends of its lines, in bytes. It is half of a
/// head's, and gives no data that would count against the limit of a body.
const TRAILER_LIMIT_BYTES: usize = 16 * 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    /// The trailer section, with the bytes of it that were decoded.
    Trailer(usize),
    Done,
}

/// Result of one decoding step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodedChunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// More bytes are needed.
    NeedsMore,
}

/// Incremental decoder of one body.
#[derive(Debug, Clone)]
pub struct ChunkDecoder {
    state: ChunkState,
}

impl ChunkDecoder {
    /// Builds a decoder at the start of a body.
    pub fn new() -> ChunkDecoder {
        ChunkDecoder { state: ChunkState::Size }
    }

    /// Decodes and removes bytes from the front of `buffer`.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::Malformed`] if the encoding is invalid.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<DecodedChunk, ConnectionError> {
        loop {
            match self.state {
                ChunkState::Size => {
                    let Some(line) = take_line(buffer, SIZE_LINE_LIMIT)? else {
                        return Ok(DecodedChunk::NeedsMore);
                    };
                    let size = parse_size(&line)?;
                    self.state =
                        if size == 0 { ChunkState::Trailer(0) } else { ChunkState::Data(size) };
                }
                ChunkState::Data(left) => {
                    if buffer.is_empty() {
                        return Ok(DecodedChunk::NeedsMore);
                    }
                    let taken = left.min(buffer.len() as u64);
                    let data = buffer.split_to(taken as usize).freeze();
                    let left = left - taken;
                    self.state =
                        if left == 0 { ChunkState::DataEnd } else { ChunkState::Data(left) };
                    return Ok(DecodedChunk::Data(data));
                }
                ChunkState::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(DecodedChunk::NeedsMore);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(ConnectionError::Malformed);
                    }
                    buffer.advance(2);
                    self.state = ChunkState::Size;
                }
                ChunkState::Trailer(decoded) => {
                    let Some(line) = take_line(buffer, TRAILER_LIMIT_BYTES - decoded)? else {
                        return Ok(DecodedChunk::NeedsMore);
                    };
                    self.state = if line.is_empty() {
                        ChunkState::Done
                    } else {
                        ChunkState::Trailer(decoded + line.len())
                    };
                }
                ChunkState::Done => return Ok(DecodedChunk::End),
            }
        }
    }
}

impl Default for ChunkDecoder {
    fn default() -> ChunkDecoder {
        ChunkDecoder::new()
    }
}

/// Removes a line of up to `limit` bytes without its end. Whether it is too long does not depend on
/// how much of it has arrived.
fn take_line(buffer: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, ConnectionError> {
    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
        // The last byte may be the first one of the line's end.
        if buffer.len() > limit + 1 {
            return Err(ConnectionError::Malformed);
        }
        return Ok(None);
    };
    if end > limit {
        return Err(ConnectionError::Malformed);
    }
    let line = buffer.split_to(end).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

fn parse_size(line: &[u8]) -> Result<u64, ConnectionError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| ConnectionError::Malformed)?.trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(ConnectionError::Malformed);
    }
    u64::from_str_radix(text, 16).map_err(|_| ConnectionError::Malformed)
}
