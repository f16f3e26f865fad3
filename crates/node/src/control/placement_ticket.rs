//! A request's connection to the placement.

use dragonflycart_core::{ErrorKind, ServerInstance, ServerName, VersionName};
use dragonflycart_policy::RequestTicket;
use tokio::sync::mpsc;

/// Permission to send a request to one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PlacementGrant {
    /// Backend server.
    pub(crate) server: ServerName,
    /// Zone and seat of this VM, stated to a cold server so that it can report what runs there.
    pub(crate) ordinal: String,
    /// Run of the server's process that the decision was made for.
    pub(crate) instance: ServerInstance,
}

/// What the placement decides about a request over time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PlacementNotice {
    /// Send the request to this server.
    Granted(PlacementGrant),
    /// The request will not be sent any more. The ticket is no longer valid.
    Rejected(ErrorKind),
    /// Cancel the request on its server. The ticket is no longer valid.
    Cancelled(ErrorKind),
    /// Cancel the request on its server and wait for another grant.
    Preempted,
}

/// A request's connection to the placement.
#[derive(Debug)]
pub(crate) struct PlacementTicket {
    /// Identity of the request on the control thread.
    pub(crate) ticket: RequestTicket,
    /// Decisions in order.
    pub(crate) notices: mpsc::UnboundedReceiver<PlacementNotice>,
}

/// Generation that was submitted to the placement.
#[derive(Debug)]
pub(crate) struct PlacedGeneration {
    /// Connection to the placement.
    pub(crate) ticket: PlacementTicket,
    /// Version that serves the request.
    pub(crate) version: VersionName,
    /// Scheduling priority for the engine.
    pub(crate) priority: u8,
    /// Whether the model's engines accept a forced prefix.
    pub(crate) forced_prefix: bool,
}
