//! Load report of a backend server as this package needs it.

use dragonflycart_core::{ModelName, MonoTime, ServerInstance, VersionName, VmOrdinal, ZoneName};

/// Load report. The daemon builds it from the message of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerReport {
    /// Earliest time on the clock of this VM at which the report can have been taken: the time of
    /// the query, less the longest time that the server may hold back a report.
    pub taken_at: MonoTime,
    /// Run of the server's process.
    pub instance: ServerInstance,
    /// Whether the server is in cold start.
    pub cold: bool,
    /// Most concurrent requests that the server can handle now.
    pub concurrency_limit: u32,
    /// Whether the server is to leave and takes no new work.
    pub leaving: bool,
    /// Running requests.
    pub running: u32,
    /// Requests that wait in the server.
    pub waiting: u32,
    /// Tokens held in memory.
    pub memory_used_tokens: u64,
    /// Tokens that fit in memory.
    pub memory_total_tokens: u64,
    /// Preemptions since the start of the process.
    pub preemptions: u64,
    /// Requests in the server per entry VM.
    pub running_by_ordinal: Vec<(ZoneName, VmOrdinal, u32)>,
    /// Loaded model versions.
    pub loaded: Vec<(ModelName, VersionName)>,
}

impl ServerReport {
    /// Returns the requests in the server that came from one VM.
    pub fn running_of_ordinal(&self, zone: &ZoneName, ordinal: VmOrdinal) -> u32 {
        let mut running = 0;
        for (entry_zone, entry_ordinal, count) in &self.running_by_ordinal {
            if entry_zone == zone && *entry_ordinal == ordinal {
                running += count;
            }
        }
        running
    }

    /// Returns the requests in the server that came from VMs outside `zone`.
    pub fn running_outside(&self, zone: &ZoneName) -> u32 {
        let mut running = 0;
        for (entry_zone, _, count) in &self.running_by_ordinal {
            if entry_zone != zone {
                running += count;
            }
        }
        running
    }
}
