//! Bodies of responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// Body of a response to a caller. An error closes the connection, so that a truncated response
/// never looks complete.
pub type ResponseBody = BoxBody<Bytes, BodyError>;

/// Sender of the data of a streamed body. An empty piece of data ends the body as complete. If the
/// sender is dropped before, for example because its task panicked, the body ends with an error.
pub type BodySender = mpsc::Sender<Result<Bytes, BodyError>>;

/// The body could not be finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum BodyError {
    /// the body could not be finished
    Interrupted,
}

struct ChannelBody {
    receiver: mpsc::Receiver<Result<Bytes, BodyError>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.receiver.poll_recv(context).map(|piece| match piece {
            Some(Ok(bytes)) if bytes.is_empty() => None,
            Some(piece) => Some(piece.map(Frame::data)),
            None => Some(Err(BodyError::Interrupted)),
        })
    }
}

/// Builds a body from bytes that are all available.
pub fn full(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Builds a streamed body that buffers up to `capacity` pieces of data that the caller has not
/// received yet.
pub fn channel(capacity: usize) -> (BodySender, ResponseBody) {
    let (sender, receiver) = mpsc::channel(capacity);
    (sender, ChannelBody { receiver }.boxed())
}
