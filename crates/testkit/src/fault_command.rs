//! Faults that every fake can be told to show.

use serde::{Deserialize, Serialize};

/// Body of `POST /control/fault`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum FaultCommand {
    /// Closes the listener and resets all connections. A fake in its own process exits.
    Die,
    /// Starts again after `Die`, on the same address and with a new instance identity.
    Restart,
    /// Accepts connections but reads and writes nothing.
    Freeze,
    /// Continues after `Freeze` where it stopped.
    Thaw,
    /// Makes the open connections unresponsive for good; new ones work.
    #[serde(rename = "silence_open")]
    BlackholeOpenConnections,
    /// Restarts at once: resets all connections and takes a new instance identity.
    TurnCold,
    /// Delays every response.
    #[serde(rename = "answer_late")]
    DelayResponses {
        /// Delay in milliseconds.
        ms: u64,
    },
    /// Exchanges the responses to the next two POST requests.
    #[serde(rename = "swap_answers")]
    SwapResponses {
        /// Whether each response keeps its head, so that only the bodies are exchanged.
        keep_head: bool,
    },
    /// Executes the next POST requests but sends no response.
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
