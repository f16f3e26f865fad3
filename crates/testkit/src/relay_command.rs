//! Faults of the relay.

use serde::{Deserialize, Serialize};

use crate::ConnectionNumber;

/// What the relay does with the bytes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Passes them on.
    Pass,
    /// Reads nothing, so that the senders' buffers fill up. Nothing is lost.
    Stall,
    /// Reads and discards them, also the end of the connection.
    Discard,
    /// Closes both sides.
    Cut,
}

/// Connections that a command applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayScope {
    /// Open connections.
    Open,
    /// Connections that are accepted from now on.
    New,
    /// Both.
    All,
    /// One open connection.
    Connection(ConnectionNumber),
}

/// Body of `POST /control/relay`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayCommand {
    /// Connections that it applies to.
    pub scope: RelayScope,
    /// What happens to their bytes.
    pub mode: RelayMode,
}
