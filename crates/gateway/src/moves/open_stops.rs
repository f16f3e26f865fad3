//! Stops of generations that engines are still told.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use tokio::sync::watch;

/// Signals of the stops that are still wanted, by attempt and address of the engine.
type WantedSignals = BTreeMap<(String, SocketAddr), Vec<watch::Sender<bool>>>;

/// Stops by attempt and address of the engine. An engine may be told for long after its generation
/// went on elsewhere, and the generation may come back to it.
#[derive(Debug, Default)]
pub struct OpenStops {
    stops: Mutex<WantedSignals>,
}

impl OpenStops {
    /// Adds a stop. `is_wanted` tells it whether to go on.
    pub(super) fn add(&self, attempt: &str, engine: SocketAddr, is_wanted: &watch::Sender<bool>) {
        let key = (attempt.to_owned(), engine);
        self.lock().entry(key).or_default().push(is_wanted.clone());
    }

    /// Removes a stop that has ended.
    pub(super) fn remove(
        &self,
        attempt: &str,
        engine: SocketAddr,
        is_wanted: &watch::Sender<bool>,
    ) {
        let key = (attempt.to_owned(), engine);
        let mut stops = self.lock();
        let Some(senders) = stops.get_mut(&key) else { return };
        senders.retain(|sender| !sender.same_channel(is_wanted));
        if senders.is_empty() {
            stops.remove(&key);
        }
    }

    /// Ends the stops of an attempt at an engine to which it is about to be sent again.
    pub(crate) fn withdraw(&self, attempt: &str, engine: SocketAddr) {
        let stops = self.lock();
        if stops.is_empty() {
            return;
        }
        for is_wanted in stops.get(&(attempt.to_owned(), engine)).into_iter().flatten() {
            is_wanted.send_replace(false);
        }
    }

    fn lock(&self) -> MutexGuard<'_, WantedSignals> {
        self.stops.lock().expect("no holder of the stops' lock panics")
    }
}
