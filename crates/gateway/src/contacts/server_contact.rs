//! When one server was last heard.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use slotmap::SlotMap;
use tokio::time::Instant;

use crate::contacts::{ChannelContact, ChannelKey};

/// Bytes of one server, by connection.
#[derive(Debug, Default)]
pub(crate) struct ServerContact {
    times: Mutex<ContactTimes>,
}

#[derive(Debug, Default)]
struct ContactTimes {
    /// Time of the last bytes on each connection with a request in progress.
    open: SlotMap<ChannelKey, Option<Instant>>,
    /// Time of the last bytes on connections whose request has ended.
    ended: Option<Instant>,
}

impl ContactTimes {
    /// Returns the time of the last bytes on all connections with a request in progress.
    fn open_heard_at(&self) -> Option<Instant> {
        self.open.values().copied().flatten().max()
    }
}

impl ServerContact {
    /// Adds a connection with a request in progress.
    pub(crate) fn open(self: &Arc<ServerContact>) -> ChannelContact {
        let key = self.lock().open.insert(None);
        ChannelContact::new(self, key)
    }

    /// Records bytes that arrived on a connection that is not followed, such as that of a call.
    pub(crate) fn note_answer(&self) {
        self.lock().ended = Some(Instant::now());
    }

    /// Returns for how long the server has been silent on all connections, or `None` if nothing
    /// shows that it ever worked.
    ///
    /// A process that ends closes all of its connections. So after one has broken, only the others
    /// with a request in progress can show that the process runs.
    pub(crate) fn silent_for(&self) -> Option<Duration> {
        let times = self.lock();
        times.open_heard_at().max(times.ended).map(|heard_at| heard_at.elapsed())
    }

    /// Returns for how long the server has been silent on connections with a request in progress, or
    /// `None` if none of them is open.
    pub(crate) fn open_silent_for(&self) -> Option<Duration> {
        self.lock().open_heard_at().map(|heard_at| heard_at.elapsed())
    }

    /// Returns whether the contact tells nothing after `age` of silence.
    pub(super) fn is_outdated(&self, age: Duration) -> bool {
        let times = self.lock();
        times.open.is_empty() && times.ended.is_none_or(|ended| ended.elapsed() > age)
    }

    pub(super) fn note_bytes(&self, key: ChannelKey) {
        if let Some(heard_at) = self.lock().open.get_mut(key) {
            *heard_at = Some(Instant::now());
        }
    }

    /// Records that a connection has no request in progress any more.
    pub(super) fn note_end(&self, key: ChannelKey) {
        let mut times = self.lock();
        let heard_at = times.open.remove(key).flatten();
        times.ended = times.ended.max(heard_at);
    }

    /// Records that the server closed a connection or that it was reset.
    pub(super) fn note_break(&self, key: ChannelKey) {
        let mut times = self.lock();
        times.open.remove(key);
        times.ended = None;
    }

    fn lock(&self) -> MutexGuard<'_, ContactTimes> {
        self.times.lock().expect("no holder of the contact's lock panics")
    }
}
