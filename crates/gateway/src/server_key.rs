//! Keys into the arena of servers.

slotmap::new_key_type! {
    /// Key of one incarnation of a backend server. A key is never used for another incarnation.
    pub struct ServerKey;
}
