//! Progress of a series of copies of the records in a ledger.

use dragonflycart_wire::{LogCheckpoint, LogEntry, log_entry::Kind};

use crate::CallKey;

/// Series of copies of a ledger's records, which are appended again before the log removes the
/// originals. The copies are appended a few keys at a time, so that they do not fill the append
/// buffer, and a checkpoint ends the series.
///
/// Records that reach the log in the meantime need no copy, because they follow the offset that the
/// checkpoint names.
#[derive(Debug, Clone)]
pub struct CheckpointPass {
    checkpoint: LogCheckpoint,
    copied_to: Option<CallKey>,
    done: bool,
}

impl CheckpointPass {
    pub(crate) fn new(checkpoint: LogCheckpoint) -> CheckpointPass {
        CheckpointPass { checkpoint, copied_to: None, done: false }
    }

    /// Returns whether the checkpoint at the end of the series was returned.
    pub fn is_done(&self) -> bool {
        self.done
    }

    pub(crate) fn copied_to(&self) -> Option<&CallKey> {
        self.copied_to.as_ref()
    }

    pub(crate) fn advance(&mut self, key: &CallKey) {
        self.copied_to = Some(key.clone());
    }

    /// Ends the series and returns the checkpoint, which must be appended after all copies.
    pub(crate) fn finish(&mut self) -> LogEntry {
        self.done = true;
        LogEntry { kind: Some(Kind::LogCheckpoint(self.checkpoint.clone())) }
    }
}
