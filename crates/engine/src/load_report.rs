//! Load report of a backend server.

use dragonflycart_core::{ModelName, OrderFence, ServerInstance, VersionName};
use serde::{Deserialize, Serialize};

/// Load of a backend server as it reports it, with a lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Run of the server's process.
    pub instance: ServerInstance,
    /// Whether the server is still in cold start.
    pub cold: bool,
    /// Most concurrent requests that the server can bear now.
    #[serde(rename = "bears")]
    pub concurrency_limit: u32,
    /// Whether the server was told to leave.
    pub leaving: bool,
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait in the server.
    pub waiting: u32,
    /// Tokens held in memory.
    pub memory_used_tokens: u64,
    /// Tokens that fit in memory.
    pub memory_total_tokens: u64,
    /// Generations preempted since the start of the process.
    pub preemptions: u64,
    /// Running requests per entry VM, as "zone/seat", for cold-start accounting.
    #[serde(rename = "running_by_seat")]
    pub running_by_ordinal: Vec<(String, u32)>,
    /// Requests in the server per model version. A version with requests is not unloaded.
    #[serde(default)]
    pub running_by_version: Vec<(ModelName, VersionName, u32)>,
    /// Model versions that are loaded.
    pub loaded: Vec<(ModelName, VersionName)>,
    /// Highest fencing number seen.
    pub highest_fence: OrderFence,
}
