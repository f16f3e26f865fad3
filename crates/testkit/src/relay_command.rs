//! Faults of the relay.

use serde::{Deserialize, Serialize};

use crate::ConnectionNumber;

/// What the relay does with the bytes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Passes them on.
    Pass,
    /// Reads nothing, so that the senders' buffers fill up. No bytes are lost.
    Stall,
    /// Reads and discards them. The end of one side's data is not passed on either.
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
    /// Connections that the command applies to.
    pub scope: RelayScope,
    /// What the relay does with their bytes from now on.
    pub mode: RelayMode,
}
