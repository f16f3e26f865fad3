//! Events of a generation.

use serde::{Deserialize, Serialize};

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the output.
    Stop,
    /// The output reached the maximum number of tokens.
    Length,
    /// The generation was cancelled.
    Cancelled,
}

/// One event of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// One token.
    Token {
        /// Generation that the token belongs to.
        generation: String,
        /// Number of the attempt that generated the token.
        epoch: u32,
        /// Position in the output, from 0.
        index: u64,
        /// Token id.
        id: u32,
        /// Text of the token.
        text: String,
    },
    /// Keepalive while no token is ready.
    Heartbeat {
        /// Generation that the event belongs to.
        generation: String,
    },
    /// End of the output.
    Finished {
        /// Generation that the event belongs to.
        generation: String,
        /// Number of the attempt that finished.
        epoch: u32,
        /// Why the generation ended.
        reason: FinishReason,
        /// Number of tokens in the whole output.
        count: u64,
    },
    /// The engine failed the generation.
    Failed {
        /// Generation that the event belongs to.
        generation: String,
        /// Error message of the engine.
        message: String,
    },
}
