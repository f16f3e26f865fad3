//! Event stream of a generation.

use std::{sync::Arc, time::Duration};

use axum::body::Body;
use bytes::Bytes;
use dragonflycart_core::ModelName;
use dragonflycart_engine::FinishReason;
use futures::stream;
use serde_json::json;
use tokio::sync::watch;

use crate::{
    generation::{BufferSlice, GenerationBuffer, GenerationEnd, ReaderGuard},
    http::error_json,
};

/// Longest time without an event on the stream. Callers can treat a few missing heartbeats as a
/// broken connection and resume at another VM.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Reads a buffer for one caller.
struct EventReader {
    reader: ReaderGuard,
    changes: watch::Receiver<()>,
    shutdown: watch::Receiver<bool>,
    model: Option<ModelName>,
    next: u64,
    done: bool,
}

/// Builds the body of an event stream that starts at token `next`. When `shutdown` becomes true,
/// the stream ends with a `reconnect` event as soon as another VM can continue it.
pub(crate) fn event_body(
    buffer: Arc<GenerationBuffer>,
    model: Option<ModelName>,
    next: u64,
    shutdown: watch::Receiver<bool>,
) -> Body {
    let changes = buffer.subscribe();
    let reader = ReaderGuard::new(buffer);
    let reader = EventReader { reader, changes, shutdown, model, next, done: false };
    Body::from_stream(stream::unfold(reader, |mut reader| async move {
        let chunk = reader.next_chunk().await?;
        Some((Ok::<Bytes, std::convert::Infallible>(chunk), reader))
    }))
}

/// Waits until `shutdown` is true.
async fn begun(shutdown: &mut watch::Receiver<bool>) {
    if shutdown.wait_for(|shutdown| *shutdown).await.is_err() {
        // The process stops without handing streams over.
        std::future::pending::<()>().await;
    }
}

impl EventReader {
    /// Waits for new tokens and renders all of them as one chunk. After a pause of
    /// [`HEARTBEAT_PERIOD`] the chunk is a heartbeat.
    async fn next_chunk(&mut self) -> Option<Bytes> {
        if self.done {
            return None;
        }
        loop {
            self.changes.borrow_and_update();
            let slice = self.reader.buffer().read_from(self.next);
            if !slice.texts.is_empty() || slice.end.is_some() {
                return Some(self.render(&slice));
            }
            let is_shutdown = *self.shutdown.borrow();
            if is_shutdown && self.reader.hand_over() {
                self.done = true;
                return Some(self.reconnect_event());
            }
            tokio::select! {
                changed = self.changes.changed() => changed.ok()?,
                () = begun(&mut self.shutdown), if !is_shutdown => {}
                () = tokio::time::sleep(HEARTBEAT_PERIOD) => {
                    return Some(Bytes::from_static(b": heartbeat\n\n"));
                }
            }
        }
    }

    fn reconnect_event(&self) -> Bytes {
        let id = self.reader.buffer().location();
        let data = json!({ "id": id.to_string(), "next": self.next });
        Bytes::from(format!("event: reconnect\ndata: {data}\n\n"))
    }

    fn render(&mut self, slice: &BufferSlice) -> Bytes {
        let mut out = String::with_capacity(slice.texts.len() * 160 + 160);
        for text in &slice.texts {
            self.render_event(&mut out, slice, text, None);
            self.next += 1;
        }
        match &slice.end {
            None => {}
            Some(GenerationEnd::Finished { reason }) => {
                self.render_event(&mut out, slice, "", Some(*reason));
                out.push_str("data: [DONE]\n\n");
                self.done = true;
            }
            Some(GenerationEnd::Failed(error)) => {
                out.push_str("event: error\ndata: ");
                out.push_str(&error_json(error));
                out.push_str("\n\n");
                self.done = true;
            }
        }
        Bytes::from(out)
    }

    fn render_event(
        &self,
        out: &mut String,
        slice: &BufferSlice,
        text: &str,
        reason: Option<FinishReason>,
    ) {
        let data = json!({
            "id": slice.location.to_string(),
            "object": "text_completion",
            "model": self.model,
            "choices": [{ "index": 0, "text": text, "finish_reason": reason }],
        });
        // The event id identifies the token, so that a caller that reconnects with
        // `Last-Event-ID` continues at the next one.
        if reason.is_none() {
            out.push_str(&format!("id: {}:{}\n", slice.location, self.next));
        }
        out.push_str(&format!("data: {data}\n\n"));
    }
}
