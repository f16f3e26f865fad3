//! State of a request at a server.

use dragonflycart_capacity::RunningLoad;
use dragonflycart_core::MonoTime;
use slotmap::new_key_type;

use crate::ServerKey;

new_key_type! {
    /// Key of a request at a server.
    pub struct RunKey;
}

/// Request that was sent to a server and has not ended.
#[derive(Debug, Clone)]
pub(crate) struct OpenRun {
    /// Server.
    pub(crate) server: ServerKey,
    /// Name of the route.
    pub(crate) route: String,
    /// Time at which it was sent.
    pub(crate) sent_at: MonoTime,
    /// Load of the server when it was sent, including the request, if its time tells how fast the
    /// server is.
    pub(crate) load: Option<RunningLoad>,
    /// Whether it was counted, and as what: true for a bad result.
    pub(crate) counted: Option<bool>,
}
