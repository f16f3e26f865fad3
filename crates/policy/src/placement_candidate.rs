//! Server as a placement policy sees it.

use crate::ServerKey;

/// Server that may get a request, with the figures that policies compare.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementCandidate {
    /// Server.
    pub server: ServerKey,
    /// Requests of this VM in the server.
    pub own_requests: u32,
    /// Requests in the server by its last report.
    pub reported_requests: u32,
    /// Tokens held in memory by the last report.
    pub reported_memory: u64,
    /// Tokens that fit in memory.
    pub memory_total: u64,
    /// Requests in the server, with what was sent and ended since the report.
    pub estimated_requests: u32,
    /// Requests that the other VMs are assumed to have sent since the report.
    pub claimed_requests: f64,
    /// Concurrent requests that the server can handle.
    pub limit: u32,
    /// Whether a cold-start slot is used.
    pub cold: bool,
    /// Highest forecast memory use with the request, in tokens. Zero if the policy doesn't use
    /// forecasts.
    pub forecast_peak: f64,
    /// Share of the prompt that is believed to be in the server's prefix cache.
    pub prefix_share: f64,
    /// Whether the server is in another zone than this VM.
    pub remote: bool,
    /// Share of the server's capacity that is kept free for requests of more urgent classes.
    pub reserve: f64,
}
