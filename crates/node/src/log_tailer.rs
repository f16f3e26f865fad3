//! Follows one topic of the log service.

use std::{sync::Arc, time::Duration};

use dragonflycart_core::LogOffset;
use dragonflycart_interfaces::{LogError, LogService, LogTopic, ReadBatch};
use tokio::sync::mpsc;

/// Longest wait of one read for a new record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read. Short against the 3 s within which a plan must be in effect.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What following a topic yields.
#[derive(Debug)]
pub(crate) enum TailEvent {
    /// Records and the end of the log as of the read.
    Batch(LogTopic, ReadBatch),
    /// Records from the reader's position on were removed; reading goes on at this offset.
    Truncated(LogTopic, LogOffset),
    /// The log service did not answer.
    Unreachable,
}

/// Follows one topic from its first record and passes what it reads to the control thread.
pub(crate) struct LogTailer {
    service: Arc<dyn LogService>,
    topic: LogTopic,
    events: mpsc::Sender<TailEvent>,
}

impl LogTailer {
    /// Builds a tailer of `topic`.
    pub(crate) fn new(
        service: Arc<dyn LogService>,
        topic: LogTopic,
        events: mpsc::Sender<TailEvent>,
    ) -> LogTailer {
        LogTailer { service, topic, events }
    }

    /// Follows the topic until the receiver of the events is closed.
    pub(crate) async fn run(self) {
        let mut position = LogOffset(0);
        loop {
            let event = match self.service.read(self.topic, position, READ_WAIT).await {
                Ok(batch) => {
                    if let Some(last) = batch.records.last() {
                        position = last.offset.next();
                    }
                    TailEvent::Batch(self.topic, batch)
                }
                Err(LogError::Expired { first_available }) => {
                    position = first_available;
                    TailEvent::Truncated(self.topic, first_available)
                }
                Err(_) => {
                    tokio::time::sleep(RETRY_DELAY).await;
                    TailEvent::Unreachable
                }
            };
            if self.events.send(event).await.is_err() {
                return;
            }
        }
    }
}
