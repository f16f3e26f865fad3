//! Candidate server for a request.

use crate::ServerKey;

/// Server that may get a request, with the values that policies compare.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementCandidate {
    /// Server.
    pub server: ServerKey,
    /// Requests of this VM on the server.
    pub own_requests: u32,
    /// Requests on the server according to its last report.
    pub reported_requests: u32,
    /// Tokens held in memory according to the last report.
    pub reported_memory: u64,
    /// Tokens that fit in memory.
    pub memory_total: u64,
    /// Estimated requests on the server: the last report, corrected by this VM's requests that
    /// started or ended since.
    pub estimated_requests: u32,
    /// Requests that the other VMs are assumed to have sent since the last report.
    pub peer_requests: f64,
    /// Concurrent requests that the server can handle.
    pub limit: u32,
    /// Whether the request would use a cold-start slot.
    pub cold: bool,
    /// Forecast peak memory use including the request, in tokens. Zero if the policy doesn't use
    /// forecasts.
    pub forecast_peak: f64,
    /// Share of the prompt that is expected to be in the server's prefix cache.
    pub prefix_share: f64,
    /// Whether the server is in another zone than this VM.
    pub remote: bool,
    /// Share of the server's capacity that is kept free for requests of more urgent classes.
    pub reserve: f64,
}
