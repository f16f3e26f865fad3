//! Calls to engines about running generations.

use std::net::SocketAddr;

use crate::{EngineReport, HttpCall};

/// Response to a call that copies a generation's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyResponse {
    /// The memory was copied.
    Copied {
        /// ID of the copy.
        handle: String,
    },
    /// The engine is not running this generation.
    Unknown,
    /// Another copy of the generation is in progress.
    Busy,
    /// The target has no free memory or is unreachable.
    NoRoom {
        /// ID of the memory that the source retains if the generation was stopped.
        handle: Option<String>,
    },
}

/// Encoding of calls to engines and decoding of their responses.
pub trait EngineProtocol: Send + Sync {
    /// Builds the call that copies the memory of `attempt` to `target`. With `is_final`, the engine
    /// stops the generation first.
    fn copy_call(&self, attempt: &str, target: SocketAddr, is_final: bool) -> HttpCall;

    /// Builds the call that frees a copy.
    fn release_call(&self, handle: &str) -> HttpCall;

    /// Builds the call that requests an engine's report.
    fn report_call(&self) -> HttpCall;

    /// Decodes an engine's report, or returns `None` if it is invalid.
    fn decode_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Decodes the response to a copy call, or returns `None` if it is invalid.
    fn decode_copy(&self, status: u16, body: &[u8]) -> Option<CopyResponse>;

    /// Formats the header value that names the memory from which a generation resumes: the address
    /// of its engine and a handle.
    fn resume_value(&self, address: SocketAddr, handle: &str) -> String;
}
