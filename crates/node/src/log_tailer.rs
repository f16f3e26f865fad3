//! Follows a topic of the log service.

use std::{sync::Arc, time::Duration};

use dragonflycart_core::LogOffset;
use dragonflycart_interfaces::{LogError, LogService, LogTopic, ReadBatch};
use tokio::sync::mpsc;

/// Longest time that a read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed read. It is short compared to the 3 s within which a plan must take effect.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of reading a topic.
#[derive(Debug)]
pub(crate) enum TailEvent {
    /// Records, and the end of the log at the time of the read.
    Batch(LogTopic, ReadBatch),
    /// The log has removed records that were not read. Reading continues at this offset.
    Truncated(LogTopic, LogOffset),
    /// The log service could not be read.
    Unreachable,
}

/// Follows one topic from its first record and sends what it reads to a channel.
pub(crate) struct LogTailer {
    service: Arc<dyn LogService>,
    topic: LogTopic,
    events: mpsc::Sender<TailEvent>,
}

impl LogTailer {
    /// Creates a tailer for `topic`.
    pub(crate) fn new(
        service: Arc<dyn LogService>,
        topic: LogTopic,
        events: mpsc::Sender<TailEvent>,
    ) -> LogTailer {
        LogTailer { service, topic, events }
    }

    /// Follows the topic until the receiver of the events is dropped.
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
