//! Stream of the events of a generation.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use dragonflycart_core::ServerInstance;
use futures::{Stream, StreamExt, stream::BoxStream};

use crate::{EngineError, StreamEvent};

/// Events of a generation on one connection. The last item is `Finished`, `Failed` or an error;
/// [`EngineError::ConnectionLost`] means that the connection ended before the output did.
/// Dropping the stream closes its connection; the generation continues until it is cancelled.
pub struct TokenStream {
    instance: Option<ServerInstance>,
    events: BoxStream<'static, Result<StreamEvent, EngineError>>,
}

impl TokenStream {
    /// Builds a stream from the `events` of the server process `instance`.
    pub fn new(
        instance: Option<ServerInstance>,
        events: impl Stream<Item = Result<StreamEvent, EngineError>> + Send + 'static,
    ) -> TokenStream {
        TokenStream { instance, events: events.boxed() }
    }

    /// Returns the identity of the process that opened the stream, if the response named it.
    pub fn instance(&self) -> Option<ServerInstance> {
        self.instance
    }
}

impl Stream for TokenStream {
    type Item = Result<StreamEvent, EngineError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.events.poll_next_unpin(cx)
    }
}

impl fmt::Debug for TokenStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("TokenStream").field("instance", &self.instance).finish_non_exhaustive()
    }
}
