//! Entry of a relayed stream.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use tokio::time::Instant;

use crate::StreamProgress;

/// Entry of one stream in the list of open streams. Removed from the list when dropped.
pub struct StreamEntry {
    number: u64,
    streams: Arc<Mutex<BTreeMap<u64, OpenStream>>>,
}

/// Relayed stream.
pub(super) struct OpenStream {
    pub(super) attempt: String,
    pub(super) arrived: Instant,
    pub(super) progress: Arc<StreamProgress>,
}

impl StreamEntry {
    pub(super) fn new(
        number: u64,
        streams: &Arc<Mutex<BTreeMap<u64, OpenStream>>>,
        stream: OpenStream,
    ) -> StreamEntry {
        streams.lock().expect("no holder of the list panics").insert(number, stream);
        StreamEntry { number, streams: Arc::clone(streams) }
    }
}

impl Drop for StreamEntry {
    fn drop(&mut self) {
        // A poisoned list is not used any more.
        if let Ok(mut streams) = self.streams.lock() {
            streams.remove(&self.number);
        }
    }
}
