//! State of the admission to engines, and the wake-up of waiting requests.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use dragonflycart_admission::{AdmissionTable, Waiter, WaiterId};
use dragonflycart_core::MonoTime;
use tokio::sync::Notify;

/// State of the admission to engines, shared by all requests of the VM.
#[derive(Debug, Default)]
pub struct EngineAdmission {
    table: Mutex<AdmissionTable>,
    wakers: Mutex<BTreeMap<WaiterId, Arc<Notify>>>,
}

impl EngineAdmission {
    /// Locks the table. Hold the lock for a single decision only, never across an await.
    pub fn table(&self) -> MutexGuard<'_, AdmissionTable> {
        self.table.lock().expect("no decision panics while it holds the admission table")
    }

    /// Adds a waiting request. Returns its ID and what wakes it.
    pub(crate) fn enqueue(&self, waiter: Waiter, now: MonoTime) -> (WaiterId, Arc<Notify>) {
        let id = self.table().enqueue(waiter, now);
        let waker = Arc::new(Notify::new());
        self.wakers().insert(id, Arc::clone(&waker));
        (id, waker)
    }

    /// Removes a waiting request and wakes the next one.
    pub(crate) fn remove(&self, id: WaiterId, now: MonoTime) {
        self.wakers().remove(&id);
        let removed = self.table().queue.remove(id);
        if let Some(waiter) = removed {
            self.wake(&waiter.service, now);
        }
    }

    /// Wakes the requests of a service that may be able to use memory that has become free.
    pub(crate) fn wake(&self, service: &str, now: MonoTime) {
        let candidates = self.table().candidates(service, now);
        let wakers = self.wakers();
        for id in candidates {
            if let Some(waker) = wakers.get(&id) {
                waker.notify_one();
            }
        }
    }

    fn wakers(&self) -> MutexGuard<'_, BTreeMap<WaiterId, Arc<Notify>>> {
        self.wakers.lock().expect("no holder of the wakers' lock panics")
    }
}
