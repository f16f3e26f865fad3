//! Faults that can be injected into every fake.

use serde::{Deserialize, Serialize};

/// Body of `POST /control/fault`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum FaultCommand {
    /// Closes the listener and resets all connections. A fake in its own process exits.
    Die,
    /// Opens the listener again after `Die`, on the same address, as a new server instance.
    Restart,
    /// Accepts connections but reads and writes nothing.
    Freeze,
    /// Ends `Freeze`: pending reads and writes continue.
    Thaw,
    /// Stops reading from the open connections and discards what is written to them, for good.
    /// New connections work.
    #[serde(rename = "silence_open")]
    BlackholeOpenConnections,
    /// Simulates a restart without downtime: resets all connections and continues as a new server
    /// instance, which is cold if the fake has a cold start.
    TurnCold,
    /// Delays every response.
    #[serde(rename = "answer_late")]
    DelayResponses {
        /// Delay in milliseconds.
        ms: u64,
    },
    /// Swaps the responses to the next two POST requests.
    #[serde(rename = "swap_answers")]
    SwapResponses {
        /// Whether each response keeps its status and headers, so that only the bodies are
        /// swapped.
        keep_head: bool,
    },
    /// Processes the next POST requests but sends no response.
    #[serde(rename = "lose_answers")]
    DropResponses {
        /// Number of requests.
        count: u32,
        /// Whether the connection is reset; otherwise it stays open without a response.
        reset: bool,
    },
    /// Ends `Freeze`, `DelayResponses`, `SwapResponses` and `DropResponses`.
    Clear,
}
