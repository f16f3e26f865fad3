//! Keys of servers in the view's slot map.

slotmap::new_key_type! {
    /// Key of one incarnation of a backend server, that is, of one process. Keys are never reused.
    pub struct ServerKey;
}
