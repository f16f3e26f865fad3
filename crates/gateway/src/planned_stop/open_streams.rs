//! List of the streams that are relayed to callers.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::time::Instant;
use tracing::warn;

use super::{StreamEntry, stream_entry::OpenStream};
use crate::StreamProgress;

/// Streams whose head was sent to the caller and whose end was not. The tasks that relay them end
/// with the process and can't report what they waited for.
#[derive(Default)]
pub struct OpenStreams {
    next: AtomicU64,
    streams: Arc<Mutex<BTreeMap<u64, OpenStream>>>,
}

impl OpenStreams {
    /// Adds a stream whose caller gets the head of the response, until the entry is dropped.
    pub fn add(
        &self,
        attempt: &str,
        arrived: Instant,
        progress: &Arc<StreamProgress>,
    ) -> StreamEntry {
        progress.begin();
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let stream =
            OpenStream { attempt: attempt.to_owned(), arrived, progress: Arc::clone(progress) };
        StreamEntry::new(number, &self.streams, stream)
    }

    /// Returns the number of open streams.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Logs each open stream that a planned stop cuts. `stopped_at` is the time at which the stop
    /// began.
    pub fn log_cut(&self, stopped_at: Instant) {
        for stream in self.lock().values() {
            let sent_before = stopped_at.saturating_duration_since(stream.arrived);
            let sent_after = stream.arrived.saturating_duration_since(stopped_at);
            warn!(
                id = stream.attempt,
                phase = <&str>::from(stream.progress.phase()),
                phase_ms = stream.progress.phase_time().as_millis() as u64,
                last_event = stream.progress.last_event(),
                silent_ms = stream.progress.silent_time().as_millis() as u64,
                sent_before_stop_ms = sent_before.as_millis() as u64,
                sent_after_stop_ms = sent_after.as_millis() as u64,
                total_ms = stream.arrived.elapsed().as_millis() as u64,
                "stream: cut by the planned stop"
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, OpenStream>> {
        self.streams.lock().expect("no holder of the list panics")
    }
}
