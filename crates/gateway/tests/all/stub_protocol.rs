//! Protocol of the engines of the tests.

use std::net::SocketAddr;

use dragonflycart_gateway::{CopyResponse, EngineProtocol, EngineReport, HttpCall};

/// Path of a call that copies memory while the generation runs.
pub(crate) const COPY: &str = "/copy";
/// Path of a call that stops the generation first.
pub(crate) const FINAL_COPY: &str = "/final-copy";
/// Path of the call that frees the copy whose handle follows.
pub(crate) const RELEASE: &str = "/release/";

/// Stub protocol without bodies of requests. The body of a response to a copy is the handle.
pub(crate) struct StubProtocol;

impl EngineProtocol for StubProtocol {
    fn copy_call(&self, _: &str, _: SocketAddr, is_final: bool) -> HttpCall {
        HttpCall::get(if is_final { FINAL_COPY } else { COPY }.to_owned())
    }

    fn release_call(&self, handle: &str) -> HttpCall {
        HttpCall::get(format!("{RELEASE}{handle}"))
    }

    fn report_call(&self) -> HttpCall {
        HttpCall::get("/report".to_owned())
    }

    fn decode_report(&self, _: &[u8]) -> Option<EngineReport> {
        None
    }

    fn decode_copy(&self, status: u16, body: &[u8]) -> Option<CopyResponse> {
        let handle = String::from_utf8(body.to_vec()).ok().filter(|handle| !handle.is_empty());
        match status {
            200 => handle.map(|handle| CopyResponse::Copied { handle }),
            404 => Some(CopyResponse::Unknown),
            409 => Some(CopyResponse::Busy),
            503 => Some(CopyResponse::NoRoom { handle }),
            _ => None,
        }
    }

    fn resume_value(&self, address: SocketAddr, handle: &str) -> String {
        format!("{address}/{handle}")
    }
}
