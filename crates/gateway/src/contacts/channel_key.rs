//! Key of an open connection to a server.

slotmap::new_key_type! {
    /// Key of a connection in the contact with its server.
    pub(super) struct ChannelKey;
}
