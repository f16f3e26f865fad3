//! Record in the log of the lease.

/// Requests of a team that began to run in a window.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TeamCount {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Number of requests.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// Content of a usage report. It never changes once it is in the log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReportContent {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Counts by team, sorted by name.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<TeamCount>,
}

/// Ordered number of servers of a service in a zone.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ScaleOrder {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Name of the zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Number of servers.
    #[prost(uint32, tag = "3")]
    pub desired: u32,
}

/// State of the duties, which outlasts their holder.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DutyState {
    /// Last window whose content was decided. Windows up to it are never decided again.
    #[prost(uint64, tag = "1")]
    pub last_window: u64,
    /// Decided reports for which no answer of the platform is known, oldest first.
    #[prost(message, repeated, tag = "2")]
    pub reports: Vec<ReportContent>,
    /// Latest orders of servers.
    #[prost(message, repeated, tag = "3")]
    pub orders: Vec<ScaleOrder>,
}

/// Claim or renewal of the lease. Each record holds the whole state, so that only the last one needs
/// to be read, and older ones may be deleted.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DutyRecord {
    /// Name of the VM that holds the lease.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Random ID of its process.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    /// Number of the append in that process. It tells which of several unanswered appends took
    /// effect.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Number of the holder: the offset of its claim plus one, so no two claims share one.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// State of the duties.
    #[prost(message, optional, tag = "5")]
    pub state: Option<DutyState>,
}
