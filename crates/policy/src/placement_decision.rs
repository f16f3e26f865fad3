//! Decisions of the placement.

use dragonflycart_core::{ErrorKind, ServerInstance};

use crate::{RequestTicket, ServerKey};

/// Decision that the daemon carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Sends the request to a backend server.
    Dispatch {
        /// Request.
        ticket: RequestTicket,
        /// Backend server.
        server: ServerKey,
        /// Instance that the decision was made for. A request with a cold-start slot must be sent
        /// over a connection on which a report of this instance was read: the connection breaks
        /// when the process ends, so the request can't reach a colder instance.
        instance: ServerInstance,
        /// Whether the request uses a cold-start slot of this VM's seat.
        cold_slot: bool,
    },
    /// Rejects a request that is not running. The request is forgotten.
    Reject {
        /// Request.
        ticket: RequestTicket,
        /// Kind of the error.
        kind: ErrorKind,
    },
    /// Cancels a running request on its server and answers with an error. The request is
    /// forgotten.
    Cancel {
        /// Request.
        ticket: RequestTicket,
        /// Server that runs it.
        server: ServerKey,
        /// Kind of the error.
        kind: ErrorKind,
    },
    /// Cancels a running request on its server; it waits again and continues after the delivered
    /// tokens.
    Preempt {
        /// Request.
        ticket: RequestTicket,
        /// Server that runs it.
        server: ServerKey,
    },
}
