//! Choice of a server by a placement.

use dragonflycart_core::ErrorKind;

use crate::{ServerKey, VersionRole};

/// Choice of a server, and among which servers it was made.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerChoice {
    /// Chosen server, or why there is none.
    pub(super) result: Result<ServerKey, ErrorKind>,
    /// Role of the servers among which it was chosen, if the service has a version move.
    pub(super) role: Option<VersionRole>,
    /// Share of the servers in other zones among which it was chosen.
    pub(super) remote_share: f64,
}

impl ServerChoice {
    /// Builds a choice from its fields.
    pub(super) fn new(
        result: Result<ServerKey, ErrorKind>,
        role: Option<VersionRole>,
        remote_share: f64,
    ) -> ServerChoice {
        ServerChoice { result, role, remote_share }
    }
}
