//! Ages of what a placement is based on.

use serde::{Deserialize, Serialize};

/// Ages of what the VM knows of a server, in milliseconds. `None` if there is no such input.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct InputAges {
    /// Age of the load that the server reported.
    pub reported_load_ms: Option<u64>,
    /// Number of peers whose load on the server is counted.
    pub peer_reports: usize,
    /// Age of the newest counted report of a peer.
    pub newest_peer_report_ms: Option<u64>,
    /// Age of the oldest counted report of a peer.
    pub oldest_peer_report_ms: Option<u64>,
    /// Age of the last sample of the learned speed.
    pub speed_ms: Option<u64>,
}
