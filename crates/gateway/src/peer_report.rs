//! Message by which VMs tell each other about themselves.

use prost::Message;

/// Load that a VM put on one server.
#[derive(Clone, PartialEq, Message)]
pub struct LoadEntry {
    /// Identity of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Requests sent and not yet answered.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Engine memory of generations, in tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Engine memory of copies of generations, in tokens.
    #[prost(uint64, tag = "4")]
    pub copy_tokens: u64,
    /// Prompt tokens of generations whose first event hasn't come.
    #[prost(uint64, tag = "5")]
    pub unread_tokens: u64,
    /// Responses that the VM lost lately.
    #[prost(uint32, tag = "6")]
    pub lost: u32,
    /// Tokens whose memory is on its way to the server.
    #[prost(uint64, tag = "7")]
    pub arriving_tokens: u64,
}

/// Server that a VM knows to leave.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingEntry {
    /// Identity of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of its process, in Unix milliseconds.
    #[prost(uint64, optional, tag = "2")]
    pub started_at_ms: Option<u64>,
}

/// Another VM that the sender heard of lately.
#[derive(Clone, PartialEq, Message)]
pub struct PeerEntry {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Address for datagrams, as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Answers on one route during a move to another version.
#[derive(Clone, PartialEq, Message)]
pub struct RouteEntry {
    /// Name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Answers of the old version without a fault.
    #[prost(uint64, tag = "2")]
    pub old_good: u64,
    /// Bad answers of the old version.
    #[prost(uint64, tag = "3")]
    pub old_bad: u64,
    /// Answers of the new version without a fault.
    #[prost(uint64, tag = "4")]
    pub new_good: u64,
    /// Bad answers of the new version.
    #[prost(uint64, tag = "5")]
    pub new_bad: u64,
}

/// Move to another version, as the VM sees it.
#[derive(Clone, PartialEq, Message)]
pub struct VersionMoveEntry {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Offset of the order in the operators' table.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Phase.
    #[prost(uint32, tag = "3")]
    pub phase: u32,
    /// Milliseconds since the order was first seen.
    #[prost(uint64, tag = "4")]
    pub elapsed_ms: u64,
    /// All results so far.
    #[prost(message, repeated, tag = "5")]
    pub routes: Vec<RouteEntry>,
}

/// State of a VM, sent to each peer in one datagram. A report replaces the one before, so that a
/// lost datagram needs no repair.
#[derive(Clone, PartialEq, Message)]
pub struct PeerReport {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Identity of this start of the process.
    #[prost(fixed64, tag = "3")]
    pub boot: u64,
    /// Number of the report within this start.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Version of the plan in force; zero for none.
    #[prost(uint64, tag = "5")]
    pub plan_version: u64,
    /// Load of this VM on servers; those without load are left out.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<LoadEntry>,
    /// Servers that leave.
    #[prost(message, repeated, tag = "7")]
    pub leaving: Vec<LeavingEntry>,
    /// Whether the VM takes no more work.
    #[prost(bool, tag = "8")]
    pub is_stopping: bool,
    /// Whether the VM may read the store for others.
    #[prost(bool, tag = "9")]
    pub can_read: bool,
    /// Some VMs that run, so that those which missed each other at the store meet.
    #[prost(message, repeated, tag = "10")]
    pub peers: Vec<PeerEntry>,
    /// Moves to other versions.
    #[prost(message, repeated, tag = "11")]
    pub versions: Vec<VersionMoveEntry>,
}
