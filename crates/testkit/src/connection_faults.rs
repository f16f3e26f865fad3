//! Faults in the connections of a fake.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    task::{Context, Waker},
};

use tokio::sync::watch;

use crate::ConnectionNumber;

/// What a connection does with the next read or write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    /// The operation is passed to the socket.
    Pass,
    /// The operation waits until the action changes.
    Wait,
    /// Reads wait, writes are discarded and reported as successful.
    Discard,
    /// The operation fails and the connection is closed.
    Reset,
}

/// Direction of an operation on a connection, from the fake's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionHalf {
    Read,
    Write,
}

/// Faults of one open connection, and the tasks to wake when they change.
#[derive(Default)]
struct ConnectionEntry {
    reset: bool,
    blackholed: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

#[derive(Default)]
struct ConnectionFaultState {
    frozen: bool,
    next_number: u64,
    open: BTreeMap<ConnectionNumber, ConnectionEntry>,
}

/// Faults in the connections of one fake.
pub struct ConnectionFaults {
    state: Mutex<ConnectionFaultState>,
    dead: watch::Sender<bool>,
}

impl ConnectionFaults {
    /// Builds the state without faults.
    pub(crate) fn new() -> ConnectionFaults {
        ConnectionFaults {
            state: Mutex::new(ConnectionFaultState::default()),
            dead: watch::Sender::new(false),
        }
    }

    /// Closes the listener and resets all connections.
    pub fn die(&self) {
        self.dead.send_replace(true);
        self.reset_all();
    }

    /// Opens the listener again after [`Self::die`].
    pub fn revive(&self) {
        self.dead.send_replace(false);
    }

    /// Returns a receiver that holds whether the fake is dead.
    pub fn watch_dead(&self) -> watch::Receiver<bool> {
        self.dead.subscribe()
    }

    /// Stops or continues all reads and writes. New connections are accepted in both cases.
    pub fn set_frozen(&self, frozen: bool) {
        self.change(|state| state.frozen = frozen);
    }

    /// Returns whether reads and writes are stopped.
    pub fn is_frozen(&self) -> bool {
        self.lock().frozen
    }

    /// Stops reading from the connections that are open now and discards what is written to them,
    /// for good. New connections work.
    pub fn blackhole_open(&self) {
        self.change(|state| {
            for entry in state.open.values_mut() {
                entry.blackholed = true;
            }
        });
    }

    /// Resets all open connections.
    pub fn reset_all(&self) {
        self.change(|state| {
            for entry in state.open.values_mut() {
                entry.reset = true;
            }
        });
    }

    /// Resets one connection.
    pub fn reset_connection(&self, number: ConnectionNumber) {
        self.change(|state| {
            if let Some(entry) = state.open.get_mut(&number) {
                entry.reset = true;
            }
        });
    }

    /// Returns the number of open connections. Black-holed ones are not counted, because the fake
    /// never reads from them and so doesn't notice when the peer closes them.
    pub fn open_count(&self) -> usize {
        self.lock().open.values().filter(|entry| !entry.blackholed).count()
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted_count(&self) -> u64 {
        self.lock().next_number
    }

    pub(crate) fn register(&self) -> ConnectionNumber {
        let mut state = self.lock();
        let number = ConnectionNumber(state.next_number);
        state.next_number += 1;
        state.open.insert(number, ConnectionEntry::default());
        number
    }

    pub(crate) fn unregister(&self, number: ConnectionNumber) {
        self.lock().open.remove(&number);
    }

    /// Returns what to do with the next operation, and registers the task to be woken when the
    /// faults change.
    pub(crate) fn next_action(
        &self,
        number: ConnectionNumber,
        half: ConnectionHalf,
        cx: &mut Context<'_>,
    ) -> ConnectionAction {
        let mut state = self.lock();
        let frozen = state.frozen;
        let Some(entry) = state.open.get_mut(&number) else {
            return ConnectionAction::Reset;
        };
        let waker = Some(cx.waker().clone());
        match half {
            ConnectionHalf::Read => entry.reader = waker,
            ConnectionHalf::Write => entry.writer = waker,
        }
        if entry.reset {
            ConnectionAction::Reset
        } else if entry.blackholed {
            ConnectionAction::Discard
        } else if frozen {
            ConnectionAction::Wait
        } else {
            ConnectionAction::Pass
        }
    }

    fn change(&self, change: impl FnOnce(&mut ConnectionFaultState)) {
        let mut wakers = Vec::new();
        let mut state = self.lock();
        change(&mut state);
        for entry in state.open.values_mut() {
            wakers.extend(entry.reader.take());
            wakers.extend(entry.writer.take());
        }
        drop(state);
        for waker in wakers {
            waker.wake();
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionFaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
