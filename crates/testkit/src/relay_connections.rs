//! Open connections of a relay and their modes.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tokio::sync::watch;

use crate::{ConnectionNumber, RelayCommand, RelayMode, RelayScope};

struct RelayState {
    new_connection_mode: RelayMode,
    next_number: u64,
    open: BTreeMap<ConnectionNumber, watch::Sender<RelayMode>>,
}

/// Open connections of a relay, each with its mode, and the mode for new ones.
pub(crate) struct RelayConnections {
    state: Mutex<RelayState>,
}

impl RelayConnections {
    pub(crate) fn new() -> RelayConnections {
        let state = RelayState {
            new_connection_mode: RelayMode::Pass,
            next_number: 0,
            open: BTreeMap::new(),
        };
        RelayConnections { state: Mutex::new(state) }
    }

    pub(crate) fn apply(&self, command: RelayCommand) {
        let mut state = self.lock();
        if matches!(command.scope, RelayScope::New | RelayScope::All) {
            state.new_connection_mode = command.mode;
        }
        for (number, mode) in &state.open {
            let selected = match command.scope {
                RelayScope::Open | RelayScope::All => true,
                RelayScope::New => false,
                RelayScope::Connection(wanted) => wanted == *number,
            };
            if selected {
                mode.send_replace(command.mode);
            }
        }
    }

    /// Adds a connection with the mode for new ones. The receiver follows later changes.
    pub(crate) fn register(&self) -> (ConnectionNumber, watch::Receiver<RelayMode>) {
        let mut state = self.lock();
        let number = ConnectionNumber(state.next_number);
        state.next_number += 1;
        let (sender, receiver) = watch::channel(state.new_connection_mode);
        state.open.insert(number, sender);
        (number, receiver)
    }

    pub(crate) fn unregister(&self, number: ConnectionNumber) {
        self.lock().open.remove(&number);
    }

    pub(crate) fn open_connections(&self) -> Vec<ConnectionNumber> {
        self.lock().open.keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
