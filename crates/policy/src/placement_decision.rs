//! Decisions of the scheduler.

use dragonflycart_core::{ErrorKind, ServerInstance};

use crate::{RequestTicket, ServerKey};

/// Decision of the scheduler, to be carried out by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Sends the request to a backend server.
    Dispatch {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Backend server.
        server: ServerKey,
        /// Instance that the decision was made for. A request with a cold-start slot must be sent
        /// over a connection on which a report of this instance was read. The connection breaks
        /// when the process ends, so the request can't reach a later, colder instance.
        instance: ServerInstance,
        /// Whether the request uses a cold-start slot of this VM's ordinal.
        cold_slot: bool,
    },
    /// Rejects a request that is not running. The scheduler drops the request.
    Reject {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Kind of the error.
        kind: ErrorKind,
    },
    /// Cancels a running request on its server and responds with an error. The scheduler drops the
    /// request.
    Cancel {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Server that runs it.
        server: ServerKey,
        /// Kind of the error.
        kind: ErrorKind,
    },
    /// Cancels a running request on its server. The request is queued again and later continues
    /// after the tokens that were already delivered.
    Preempt {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Server that runs it.
        server: ServerKey,
    },
}
