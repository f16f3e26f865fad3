//! Progress of a stream, shared between its relay and moves of its generation.

use std::sync::atomic::{AtomicU64, Ordering};

/// ID of the last event that was forwarded.
#[derive(Debug, Default)]
pub struct StreamProgress {
    /// ID of the last event plus one; zero if there is none.
    next: AtomicU64,
}

impl StreamProgress {
    /// Builds the progress of a caller that has received events up to `last`.
    pub fn new(last: Option<u64>) -> StreamProgress {
        StreamProgress { next: AtomicU64::new(last.map_or(0, |last| last + 1)) }
    }

    /// Records that an event was forwarded.
    pub fn advance(&self, id: u64) {
        self.next.store(id + 1, Ordering::Relaxed);
    }

    /// Returns the ID of the last event that was forwarded.
    pub fn last_event(&self) -> Option<u64> {
        self.next.load(Ordering::Relaxed).checked_sub(1)
    }
}
