//! Silence of an engine on all connections.

use std::{sync::Arc, time::Duration};

use crate::contacts::ServerContact;

/// Silence of an engine on all connections of this VM, and how long it must be until the engine
/// counts as lost.
#[derive(Debug, Clone)]
pub(crate) struct EngineSilence {
    contact: Arc<ServerContact>,
    limit: Duration,
}

impl EngineSilence {
    /// Builds the silence of the engine behind `contact`.
    pub(crate) fn new(contact: Arc<ServerContact>, limit: Duration) -> EngineSilence {
        EngineSilence { contact, limit }
    }

    /// Returns the time until the engine counts as lost if it stays silent; zero if it does now.
    pub(crate) fn time_left(&self) -> Duration {
        self.left_after(self.contact.silent_for())
    }

    /// Returns the same for an engine at whose address nothing listens. If its process has ended, all
    /// of its connections close; those that are still open show that it runs.
    pub(crate) fn time_left_without_listener(&self) -> Duration {
        self.left_after(self.contact.open_silent_for())
    }

    /// Waits until the engine counts as lost.
    pub(crate) async fn wait_lost(&self) {
        loop {
            let time_left = self.time_left();
            if time_left.is_zero() {
                return;
            }
            tokio::time::sleep(time_left).await;
        }
    }

    fn left_after(&self, silent_for: Option<Duration>) -> Duration {
        self.limit.saturating_sub(silent_for.unwrap_or(Duration::MAX))
    }
}
