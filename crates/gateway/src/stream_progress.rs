//! Progress of a stream, read while it is moved.

use std::sync::atomic::{AtomicU64, Ordering};

/// Number of the last event that was passed on.
#[derive(Debug, Default)]
pub struct StreamProgress {
    /// One more than the number; zero for none.
    next: AtomicU64,
}

impl StreamProgress {
    /// Builds the progress of a caller that has the events up to `last`.
    pub fn new(last: Option<u64>) -> StreamProgress {
        StreamProgress { next: AtomicU64::new(last.map_or(0, |last| last + 1)) }
    }

    /// Takes that an event was passed on.
    pub fn advance(&self, id: u64) {
        self.next.store(id + 1, Ordering::Relaxed);
    }

    /// Returns the number of the last event.
    pub fn last_event(&self) -> Option<u64> {
        self.next.load(Ordering::Relaxed).checked_sub(1)
    }
}
