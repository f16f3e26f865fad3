//! Faults and settings that only the fake plain service knows.

use serde::{Deserialize, Serialize};

/// Body of `POST /control/service`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "set", rename_all = "snake_case")]
pub enum ServiceCommand {
    /// Changes the time that each call takes.
    Delay {
        /// Milliseconds.
        ms: u64,
    },
    /// Answers calls with a status without executing them.
    Refuse {
        /// Status of the answers; `None` executes calls again.
        status: Option<u16>,
    },
    /// Starts or ends leaving; a leaving server refuses calls with status 503.
    Leaving {
        /// Whether the server leaves.
        leaving: bool,
    },
}
