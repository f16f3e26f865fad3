//! Faults and settings of the fake plain service only.

use serde::{Deserialize, Serialize};

/// Body of `POST /control/service`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "set", rename_all = "snake_case")]
pub enum ServiceCommand {
    /// Changes the time that each call takes.
    Delay {
        /// Milliseconds per call.
        ms: u64,
    },
    /// Rejects calls with a status, without executing them.
    Refuse {
        /// HTTP status of the responses; `None` executes calls again.
        status: Option<u16>,
    },
    /// Sets whether the server is leaving, that is, draining. A leaving server refuses calls with
    /// status 503.
    Leaving {
        /// Whether the server is leaving.
        leaving: bool,
    },
}
