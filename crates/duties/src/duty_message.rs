//! Messages between VMs about the duties.

use crate::TeamCount;

/// Largest size of a message, in bytes. It fits into a datagram.
pub const MESSAGE_BYTES: usize = 1_300;

/// Announcement of the holder to all VMs.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HolderNews {
    /// Name of the holder.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Number of the holder.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// End of the log after its last record.
    #[prost(uint64, tag = "3")]
    pub log_end: u64,
    /// Unix time in milliseconds, as the median over the fleet.
    #[prost(uint64, tag = "4")]
    pub unix_ms: u64,
    /// Last window whose report was decided.
    #[prost(uint64, tag = "5")]
    pub last_window: u64,
}

/// Counts of a VM in one window, up to now.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WindowCounts {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Counts by team. Teams whose count the holder knows may be missing.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<TeamCount>,
}

/// Requests of a service that wait at a VM.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WaitingCount {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// Report of a VM to the holder.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UsageNews {
    /// Random ID of the sender's process.
    #[prost(uint64, tag = "1")]
    pub boot: u64,
    /// Number of the holder to which it is sent.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Number of the message in that process.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Unix time in milliseconds as estimated by the sender alone.
    #[prost(uint64, tag = "4")]
    pub unix_ms: u64,
    /// Last window whose counts are all known to the holder once it has this message.
    #[prost(uint64, tag = "5")]
    pub complete_through: u64,
    /// Counts.
    #[prost(message, repeated, tag = "6")]
    pub windows: Vec<WindowCounts>,
    /// Requests that wait at the sender.
    #[prost(message, repeated, tag = "7")]
    pub waiting: Vec<WaitingCount>,
    /// Zone of the sender.
    #[prost(string, tag = "8")]
    pub zone: String,
    /// Whether these are counts of an earlier holder, sent by a VM that has a copy of them. They
    /// say nothing about the progress of that process.
    #[prost(bool, tag = "9")]
    pub is_copy: bool,
}

/// Acknowledgement of a [`UsageNews`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UsageReceipt {
    /// Number of the holder.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Random ID of the process whose message is acknowledged.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
    /// Number of that message.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
}

/// One datagram.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DutyMessage {
    /// Announcement of the holder.
    #[prost(message, optional, tag = "1")]
    pub holder: Option<HolderNews>,
    /// Report to the holder.
    #[prost(message, optional, tag = "2")]
    pub usage: Option<UsageNews>,
    /// Acknowledgement.
    #[prost(message, optional, tag = "3")]
    pub receipt: Option<UsageReceipt>,
}
