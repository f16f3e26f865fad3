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
        let silent_for = self.contact.silent_for().unwrap_or(Duration::MAX);
        self.limit.saturating_sub(silent_for)
    }
}
