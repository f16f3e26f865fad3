//! Registration of a backend server in the store.

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
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests and will shut down soon.
    pub is_draining: bool,
    /// Remaining time of its warm-up phase, in which it is cold.
    pub cold_left: Duration,
    /// Start time of the process, in Unix milliseconds. It distinguishes incarnations with the same
    /// ID.
    pub started_at_ms: Option<u64>,
}
