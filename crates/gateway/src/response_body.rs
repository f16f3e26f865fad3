//! Bodies of responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// Body of a response to a caller. An error ends the connection, so that a response that is cut
/// off never looks complete.
pub type ResponseBody = BoxBody<Bytes, BodyError>;

/// Sending side of a streamed body.
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
        self.receiver.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}

/// Builds a body that is known whole.
pub fn full(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Builds a body that is sent piece by piece, with room for `capacity` pieces that the caller has
/// not taken.
pub fn channel(capacity: usize) -> (BodySender, ResponseBody) {
    let (sender, receiver) = mpsc::channel(capacity);
    (sender, ChannelBody { receiver }.boxed())
}
