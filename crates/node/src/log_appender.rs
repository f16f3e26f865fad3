//! Carries out appends for the control thread.

use std::sync::Arc;

use bytes::Bytes;
use dragonflycart_core::LogOffset;
use dragonflycart_interfaces::{LogError, LogService, LogTopic};
use tokio::sync::mpsc;

use crate::control::{ControlHandle, ControlMessage};

/// Append that the control thread wants.
#[derive(Debug)]
pub(crate) struct AppendRequest {
    /// Topic.
    pub(crate) topic: LogTopic,
    /// Sequence of the append in its writer.
    pub(crate) sequence: u64,
    /// Encoded batch.
    pub(crate) body: Bytes,
}

/// How an append ended.
#[derive(Debug)]
pub(crate) struct AppendResult {
    /// Topic.
    pub(crate) topic: LogTopic,
    /// Sequence of the append in its writer.
    pub(crate) sequence: u64,
    /// Offset, or the failure.
    pub(crate) result: Result<LogOffset, LogError>,
}

/// Carries out appends until the control thread ends.
pub(crate) async fn run_appender(
    service: Arc<dyn LogService>,
    control: ControlHandle,
    mut requests: mpsc::UnboundedReceiver<AppendRequest>,
) {
    while let Some(request) = requests.recv().await {
        let service = Arc::clone(&service);
        let control = control.clone();
        // One append per topic is in flight; a slow one must not hold up the other topics.
        tokio::spawn(async move {
            let result = service.append(request.topic, request.body).await;
            let AppendRequest { topic, sequence, .. } = request;
            let ended = AppendResult { topic, sequence, result };
            control.send(ControlMessage::Append(ended)).await;
        });
    }
}
