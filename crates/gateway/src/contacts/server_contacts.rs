//! Contacts with all servers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::contacts::ServerContact;

/// Time for which a contact without connections is kept. It is longer than the silence after which
/// an engine counts as lost.
const KEPT_TIME: Duration = Duration::from_secs(60);

/// Contacts with servers by address.
#[derive(Debug, Default)]
pub(crate) struct ServerContacts {
    contacts: Mutex<BTreeMap<SocketAddr, Arc<ServerContact>>>,
}

impl ServerContacts {
    /// Returns the contact with the server at an address.
    pub(crate) fn contact(&self, address: SocketAddr) -> Arc<ServerContact> {
        let mut contacts = self.contacts.lock().expect("the lock is never poisoned");
        Arc::clone(contacts.entry(address).or_default())
    }

    /// Records that a server answered a call on a connection that is not followed.
    pub(crate) fn note_answer(&self, address: SocketAddr) {
        self.contact(address).note_answer();
    }

    /// Forgets servers that have been silent for long.
    pub(crate) fn sweep(&self) {
        let mut contacts = self.contacts.lock().expect("the lock is never poisoned");
        contacts
            .retain(|_, contact| Arc::strong_count(contact) > 1 || !contact.is_outdated(KEPT_TIME));
    }
}
