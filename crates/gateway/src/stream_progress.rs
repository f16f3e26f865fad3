//! Progress of a stream, shared between its relay and moves of its generation.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::StreamPhase;

/// ID of the last event that was forwarded, and what the stream waits for.
#[derive(Debug)]
pub struct StreamProgress {
    /// ID of the last event plus one; zero if there is none.
    next: AtomicU64,
    is_begun: AtomicBool,
    times: Mutex<PhaseTimes>,
}

#[derive(Debug, Clone, Copy)]
struct PhaseTimes {
    phase: StreamPhase,
    since: Instant,
    event_at: Instant,
}

impl StreamProgress {
    /// Builds the progress of a caller that has received events up to `last`.
    pub fn new(last: Option<u64>) -> StreamProgress {
        let now = Instant::now();
        StreamProgress {
            next: AtomicU64::new(last.map_or(0, |last| last + 1)),
            is_begun: AtomicBool::new(false),
            times: Mutex::new(PhaseTimes {
                phase: StreamPhase::default(),
                since: now,
                event_at: now,
            }),
        }
    }

    /// Records that the caller gets the head of the response.
    pub fn begin(&self) {
        self.is_begun.store(true, Ordering::Relaxed);
    }

    /// Returns whether the caller gets or has got the head of the response.
    pub fn is_begun(&self) -> bool {
        self.is_begun.load(Ordering::Relaxed)
    }

    /// Records that an event was forwarded.
    pub fn advance(&self, id: u64) {
        self.next.store(id + 1, Ordering::Relaxed);
        self.lock().event_at = Instant::now();
    }

    /// Returns the ID of the last event that was forwarded.
    pub fn last_event(&self) -> Option<u64> {
        self.next.load(Ordering::Relaxed).checked_sub(1)
    }

    /// Records what the stream waits for.
    pub fn enter(&self, phase: StreamPhase) {
        let mut times = self.lock();
        if times.phase != phase {
            times.phase = phase;
            times.since = Instant::now();
        }
    }

    /// Returns what the stream waits for.
    pub fn phase(&self) -> StreamPhase {
        self.lock().phase
    }

    /// Returns for how long it has waited for that.
    pub fn phase_time(&self) -> Duration {
        self.lock().since.elapsed()
    }

    /// Returns the time since the last event, or since the request was read if there is none.
    pub fn silent_time(&self) -> Duration {
        self.lock().event_at.elapsed()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PhaseTimes> {
        self.times.lock().expect("no holder of the times panics")
    }
}
