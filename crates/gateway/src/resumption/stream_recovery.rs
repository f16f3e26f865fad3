//! Recovery of a stream whose response stalled or was cut off.

use crate::resumption::RelayEnd;

/// Recovery in progress, and what was known of the engine when it began.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamRecovery {
    /// Why the stream is recovered.
    pub(crate) cause: RelayEnd,
    /// Whether the engine has failed: it neither leaves nor was asked to stop the generation.
    pub(crate) is_failure: bool,
    /// Whether nothing was done about the generation before.
    pub(crate) is_untouched: bool,
}

impl StreamRecovery {
    /// Returns whether the stream has only stalled, so that its engine may send events again.
    pub(crate) fn is_stall(&self) -> bool {
        self.cause == RelayEnd::Silent
    }
}
