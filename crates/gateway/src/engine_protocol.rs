//! Calls to engines that concern running generations.

use std::net::SocketAddr;

use crate::{EngineReport, HttpCall};

/// Answer to a call that copies a generation's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyResponse {
    /// The copy is complete up to some event.
    Copied {
        /// Names the copy.
        handle: String,
    },
    /// The engine has no such running generation.
    Unknown,
    /// Another copy of it is being made.
    Busy,
    /// The target has no room or can't be reached.
    NoRoom {
        /// Names the memory that the source keeps if the generation was stopped.
        handle: Option<String>,
    },
}

/// Formats of the calls to engines.
pub trait EngineProtocol: Send + Sync {
    /// Builds the call that copies the memory of `attempt` to `target`. With `is_final` the
    /// generation stops first.
    fn copy_call(&self, attempt: &str, target: SocketAddr, is_final: bool) -> HttpCall;

    /// Builds the call that frees a copy.
    fn release_call(&self, handle: &str) -> HttpCall;

    /// Builds the call that asks an engine for its state.
    fn report_call(&self) -> HttpCall;

    /// Decodes the state of an engine, or returns `None` if it can't be read.
    fn decode_report(&self, body: &[u8]) -> Option<EngineReport>;

    /// Decodes the answer to a copy call, or returns `None` if it can't be read.
    fn decode_copy(&self, status: u16, body: &[u8]) -> Option<CopyResponse>;

    /// Formats the address and handle from which a generation goes on.
    fn resume_value(&self, address: SocketAddr, handle: &str) -> String;
}
