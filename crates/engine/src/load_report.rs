//! Load report of a backend server.

use dragonflycart_core::{ModelName, OrderFence, ServerInstance, VersionName};
use serde::{Deserialize, Serialize};

/// Load of a backend server, as reported by the server. It lags behind the actual load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Identity of the server's process.
    pub instance: ServerInstance,
    /// Whether the server is in cold start.
    pub cold: bool,
    /// Largest number of concurrent requests that the server can handle now. It is lower during a
    /// cold start.
    #[serde(rename = "bears")]
    pub concurrency_limit: u32,
    /// Whether the server was told to shut down.
    pub leaving: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued in the server.
    pub waiting: u32,
    /// Tokens held in memory.
    pub memory_used_tokens: u64,
    /// Tokens that fit in memory.
    pub memory_total_tokens: u64,
    /// Number of preemptions since the start of the process.
    pub preemptions: u64,
    /// Number of running requests per entry VM, as "zone/ordinal", for the accounting of
    /// cold-start slots.
    #[serde(rename = "running_by_seat")]
    pub running_by_ordinal: Vec<(String, u32)>,
    /// Number of requests in the server per model version. A version with requests is not
    /// unloaded.
    #[serde(default)]
    pub running_by_version: Vec<(ModelName, VersionName, u32)>,
    /// Loaded model versions.
    pub loaded: Vec<(ModelName, VersionName)>,
    /// Highest fencing token of the orders received so far.
    pub highest_fence: OrderFence,
}
