//! Receives the placement's decisions about a request.

use dragonflycart_core::{ErrorKind, ServerInstance, ServerName, VersionName};
use dragonflycart_policy::RequestTicket;
use tokio::sync::mpsc;

/// Permission to send a request to one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlacementGrant {
    /// Backend server.
    pub(crate) server: ServerName,
    /// Zone and ordinal of this VM. A cold server uses them to report what runs for which VM.
    pub(crate) ordinal: String,
    /// Run of the server's process for which the decision was made.
    pub(crate) instance: ServerInstance,
}

/// Decision of the placement about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PlacementNotice {
    /// Send the request to this server.
    Granted(PlacementGrant),
    /// Stop waiting: the request will not be sent. The ticket is no longer valid.
    Rejected(ErrorKind),
    /// Cancel the request on its server. The ticket is no longer valid.
    Cancelled(ErrorKind),
    /// Cancel the request on its server, then wait for another grant.
    Preempted,
}

/// Receives the placement's decisions about a request.
#[derive(Debug)]
pub(crate) struct PlacementTicket {
    /// Identity of the request on the control thread.
    pub(crate) ticket: RequestTicket,
    /// Decisions in the order in which they were made.
    pub(crate) notices: mpsc::UnboundedReceiver<PlacementNotice>,
}

/// A generation that was submitted to the placement.
#[derive(Debug)]
pub(crate) struct PlacedGeneration {
    /// Receives the placement's decisions.
    pub(crate) ticket: PlacementTicket,
    /// Version that serves the request.
    pub(crate) version: VersionName,
    /// Scheduling priority for the engine.
    pub(crate) priority: u8,
    /// Whether the model's engines accept a forced prefix.
    pub(crate) forced_prefix: bool,
}
