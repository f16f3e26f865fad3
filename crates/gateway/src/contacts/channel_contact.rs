//! Share of one connection in the contact with its server.

use std::sync::Arc;

use crate::contacts::{ChannelKey, ServerContact};

/// Share of one connection in the contact with its server. It ends with the request on the
/// connection; dropping it ends it too.
#[derive(Debug)]
pub(crate) struct ChannelContact {
    server: Arc<ServerContact>,
    key: ChannelKey,
}

impl ChannelContact {
    pub(super) fn new(server: &Arc<ServerContact>, key: ChannelKey) -> ChannelContact {
        ChannelContact { server: Arc::clone(server), key }
    }

    /// Records that bytes arrived.
    pub(crate) fn note_bytes(&self) {
        self.server.note_bytes(self.key);
    }

    /// Ends the share of a connection that the server closed or that was reset.
    pub(crate) fn close_broken(self) {
        self.server.note_break(self.key);
    }
}

impl Drop for ChannelContact {
    fn drop(&mut self) {
        // Does nothing for a broken connection, which was removed before.
        self.server.note_end(self.key);
    }
}
