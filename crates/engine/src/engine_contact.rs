//! When a backend server was last heard.

use std::{
    error::Error,
    io,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// Times at which a backend server was heard or rejected a connection, on any connection of its client.
#[derive(Debug, Default)]
pub(crate) struct EngineContact {
    times: Mutex<ContactTimes>,
}

#[derive(Debug, Default)]
struct ContactTimes {
    heard_at: Option<Instant>,
    rejected_at: Option<Instant>,
}

impl EngineContact {
    /// Records that bytes arrived.
    pub(crate) fn note_bytes(&self) {
        self.lock().heard_at = Some(Instant::now());
    }

    /// Records a failure to connect.
    pub(crate) fn note_connect_error(&self, error: &(dyn Error + 'static)) {
        let mut cause = Some(error);
        while let Some(error) = cause {
            let kind = error.downcast_ref::<io::Error>().map(io::Error::kind);
            if kind == Some(io::ErrorKind::ConnectionRefused) {
                self.lock().rejected_at = Some(Instant::now());
                return;
            }
            cause = error.source();
        }
    }

    /// Returns whether the server was heard within `time` and has not rejected a connection since. One
    /// that rejects connections has closed its listener, as a process does that ends.
    pub(crate) fn is_heard(&self, time: Duration) -> bool {
        let times = self.lock();
        times.heard_at.is_some_and(|heard_at| {
            heard_at.elapsed() < time && times.rejected_at.is_none_or(|at| at < heard_at)
        })
    }

    fn lock(&self) -> MutexGuard<'_, ContactTimes> {
        self.times.lock().expect("no holder of the contact's lock panics")
    }
}
