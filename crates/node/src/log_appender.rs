//! Appends to the log for the control thread.

use std::sync::Arc;

use bytes::Bytes;
use dragonflycart_core::LogOffset;
use dragonflycart_interfaces::{LogError, LogService, LogTopic};
use tokio::sync::mpsc;

use crate::control::{ControlHandle, ControlMessage};

/// Append requested by the control thread.
#[derive(Debug)]
pub(crate) struct AppendRequest {
    /// Topic.
    pub(crate) topic: LogTopic,
    /// Sequence number of the append in its writer.
    pub(crate) sequence: u64,
    /// Encoded batch.
    pub(crate) body: Bytes,
}

/// Result of an append.
#[derive(Debug)]
pub(crate) struct AppendResult {
    /// Topic.
    pub(crate) topic: LogTopic,
    /// Sequence number of the append in its writer.
    pub(crate) sequence: u64,
    /// Offset of the append, or the error.
    pub(crate) result: Result<LogOffset, LogError>,
}

/// Performs appends until the control thread ends.
pub(crate) async fn run_appender(
    service: Arc<dyn LogService>,
    control: ControlHandle,
    mut requests: mpsc::UnboundedReceiver<AppendRequest>,
) {
    while let Some(request) = requests.recv().await {
        let service = Arc::clone(&service);
        let control = control.clone();
        // At most one append per topic is in flight. A slow one must not delay the other topics.
        tokio::spawn(async move {
            let result = service.append(request.topic, request.body).await;
            let AppendRequest { topic, sequence, .. } = request;
            let ended = AppendResult { topic, sequence, result };
            control.send(ControlMessage::Append(ended)).await;
        });
    }
}
