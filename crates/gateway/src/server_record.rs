//! What a backend server says of itself in the store.

use std::{net::SocketAddr, time::Duration};

/// Registration of one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// Service that it belongs to.
    pub service: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Whether it takes no new work and exits soon.
    pub is_draining: bool,
    /// Time for which it stays cold.
    pub cold_left: Duration,
    /// Start of the process, in Unix milliseconds; tells incarnations with one id apart.
    pub started_at_ms: Option<u64>,
}
