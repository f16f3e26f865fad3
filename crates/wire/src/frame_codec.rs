//! Framing of the messages between entry VMs.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::PeerMessage;

/// Maximum size of a frame, in bytes. A plan of 31 models in 7 availability zones is about 40 KB of
/// JSON.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Error while reading or writing frames. The connection can't be used any further.
#[derive(Debug, Display, Error)]
pub enum FrameError {
    /// peer connection failed: {0}
    Io(#[from] std::io::Error),
    /// peer sent a frame that can't be decoded: {0}
    Decode(#[from] prost::DecodeError),
}

/// Codec of length-delimited [`PeerMessage`] frames.
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Builds a codec that limits the size of a frame.
    pub fn new() -> FrameCodec {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        FrameCodec { lengths }
    }
}

impl Default for FrameCodec {
    fn default() -> FrameCodec {
        FrameCodec::new()
    }
}

impl Decoder for FrameCodec {
    type Item = PeerMessage;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<PeerMessage>, FrameError> {
        let Some(frame) = self.lengths.decode(source)? else {
            return Ok(None);
        };
        Ok(Some(PeerMessage::decode(frame)?))
    }
}

impl Encoder<PeerMessage> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, message: PeerMessage, target: &mut BytesMut) -> Result<(), FrameError> {
        self.lengths.encode(Bytes::from(message.encode_to_vec()), target)?;
        Ok(())
    }
}
