//! Message in which a VM reports its state to its peers.

use prost::Message;

/// Load that a VM has on one server.
#[derive(Clone, PartialEq, Message)]
pub struct LoadEntry {
    /// ID of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Number of requests in flight.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Engine memory of generations, in tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Engine memory of backup copies of generations, in tokens.
    #[prost(uint64, tag = "4")]
    pub copy_tokens: u64,
    /// Prompt tokens of generations that have not produced an event yet.
    #[prost(uint64, tag = "5")]
    pub unread_tokens: u64,
    /// Number of responses that the VM recently lost.
    #[prost(uint32, tag = "6")]
    pub lost: u32,
    /// Tokens whose memory is being transferred to the server.
    #[prost(uint64, tag = "7")]
    pub arriving_tokens: u64,
}

/// Speed of a server as the sender measured it.
#[derive(Clone, PartialEq, Message)]
pub struct SpeedEntry {
    /// ID of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Number of samples that the speed rests on.
    #[prost(uint32, tag = "2")]
    pub samples: u32,
    /// Speed relative to what is usual for the service, in percent.
    #[prost(uint32, tag = "3")]
    pub speed_percent: u32,
    /// Milliseconds since the last sample.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Start time of the server's process, in Unix milliseconds.
    #[prost(uint64, optional, tag = "5")]
    pub started_at_ms: Option<u64>,
}

/// Server that a VM knows to be leaving.
#[derive(Clone, PartialEq, Message)]
pub struct LeavingEntry {
    /// ID of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start time of its process, in Unix milliseconds.
    #[prost(uint64, optional, tag = "2")]
    pub started_at_ms: Option<u64>,
    /// Whether the server announced its shutdown itself, so that it will not recover.
    #[prost(bool, tag = "3")]
    pub is_announced: bool,
}

/// Another VM from which the sender recently received a report.
#[derive(Clone, PartialEq, Message)]
pub struct PeerEntry {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Address for datagrams, as `ip:port`.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Results on one route during a version move.
#[derive(Clone, PartialEq, Message)]
pub struct RouteEntry {
    /// Name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Good results of the old version.
    #[prost(uint64, tag = "2")]
    pub old_good: u64,
    /// Bad results of the old version.
    #[prost(uint64, tag = "3")]
    pub old_bad: u64,
    /// Good results of the new version.
    #[prost(uint64, tag = "4")]
    pub new_good: u64,
    /// Bad results of the new version.
    #[prost(uint64, tag = "5")]
    pub new_bad: u64,
    /// Median time to a response before the version move, in milliseconds; zero if unknown.
    #[prost(double, tag = "6")]
    pub usual_time_ms: f64,
    /// Median pause between the first events of a stream before the version move, in milliseconds;
    /// zero if unknown.
    #[prost(double, tag = "7")]
    pub usual_pause_ms: f64,
    /// Bad results before the version move.
    #[prost(uint64, tag = "8")]
    pub usual_bad: u64,
    /// Results before the version move.
    #[prost(uint64, tag = "9")]
    pub usual_total: u64,
}

/// State of a version move on the sending VM.
#[derive(Clone, PartialEq, Message)]
pub struct VersionMoveEntry {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Offset of the order in the operators' table.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Numeric value of the [`VersionMovePhase`](crate::VersionMovePhase).
    #[prost(uint32, tag = "3")]
    pub phase: u32,
    /// Milliseconds since the order was first seen.
    #[prost(uint64, tag = "4")]
    pub elapsed_ms: u64,
    /// All results of the sender so far, by route.
    #[prost(message, repeated, tag = "5")]
    pub routes: Vec<RouteEntry>,
    /// Era of the store to which the offset of the order belongs.
    #[prost(uint64, tag = "6")]
    pub era: u64,
}

/// Requests of one rank that wait for a service.
#[derive(Clone, PartialEq, Message)]
pub struct RankEntry {
    /// Rank; lower goes first.
    #[prost(uint32, tag = "1")]
    pub rank: u32,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Engine memory that they need, in tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// The part of it for requests that can still meet their latency target.
    #[prost(uint64, tag = "4")]
    pub timely_tokens: u64,
}

/// Demand of a VM for the engines of a service.
#[derive(Clone, PartialEq, Message)]
pub struct DemandEntry {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Waiting requests.
    #[prost(message, repeated, tag = "2")]
    pub ranks: Vec<RankEntry>,
    /// Tokens of engine memory that become free per second as generations of the VM end.
    #[prost(uint64, tag = "3")]
    pub freed_per_s: u64,
    /// Number of recent samples on which the rate is based, in tenths.
    #[prost(uint32, tag = "4")]
    pub freed_samples_tenths: u32,
    /// Tokens of refused requests that were told to come back later.
    #[prost(uint64, tag = "5")]
    pub promised_tokens: u64,
}

/// Recent use of engines by a team.
#[derive(Clone, PartialEq, Message)]
pub struct TeamEntry {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Decayed tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// State of a VM, sent to each peer in one datagram. Each report replaces the previous one, so lost
/// datagrams need no retransmission.
#[derive(Clone, PartialEq, Message)]
pub struct PeerReport {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Random ID of the process, which changes with each start.
    #[prost(fixed64, tag = "3")]
    pub boot: u64,
    /// Sequence number of the report since the start of the process.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Version of the route plan in effect; zero for none.
    #[prost(uint64, tag = "5")]
    pub plan_version: u64,
    /// Load of the VM on servers; servers without load or recent losses are omitted.
    #[prost(message, repeated, tag = "6")]
    pub loads: Vec<LoadEntry>,
    /// Servers that are leaving.
    #[prost(message, repeated, tag = "7")]
    pub leaving: Vec<LeavingEntry>,
    /// Whether a planned stop of the VM has begun.
    #[prost(bool, tag = "8")]
    pub is_stopping: bool,
    /// Whether the VM can read the store for others.
    #[prost(bool, tag = "9")]
    pub can_read: bool,
    /// Some running VMs, so that VMs which missed each other's registration in the store find each
    /// other.
    #[prost(message, repeated, tag = "10")]
    pub peers: Vec<PeerEntry>,
    /// Open version moves.
    #[prost(message, repeated, tag = "11")]
    pub versions: Vec<VersionMoveEntry>,
    /// Whether the receiver should relay the report to the VMs of its zone.
    #[prost(bool, tag = "12")]
    pub is_for_zone: bool,
    /// Address of the VM, as `ip:port`, if the report was relayed; empty if the sender of the
    /// datagram is the VM itself.
    #[prost(string, tag = "13")]
    pub origin: String,
    /// Number of VMs, including the sender, that the sender heard of recently enough to leave them
    /// their shares of the limits.
    #[prost(uint32, tag = "14")]
    pub sharing_vms: u32,
    /// Measured speeds of some of the servers that the VM recently used. Absence says nothing.
    #[prost(message, repeated, tag = "15")]
    pub speeds: Vec<SpeedEntry>,
    /// Demand for services with a deferrable route.
    #[prost(message, repeated, tag = "16")]
    pub demand: Vec<DemandEntry>,
    /// Recent use at the sender by the teams with the most.
    #[prost(message, repeated, tag = "17")]
    pub teams: Vec<TeamEntry>,
}

impl PeerReport {
    /// Maximum datagram size, in bytes. It fits the usual MTU.
    pub const DATAGRAM_BYTES: usize = 1_400;

    /// Encodes the report. If it does not fit into a datagram otherwise, leaves out speeds, then
    /// the use of the teams, then the demand, and then the leaving servers.
    pub fn into_datagram(mut self) -> Vec<u8> {
        while self.encoded_len() > PeerReport::DATAGRAM_BYTES && self.speeds.pop().is_some() {}
        let omissions: [fn(&mut PeerReport); 3] = [
            |report| report.teams.clear(),
            |report| report.demand.clear(),
            |report| report.leaving.clear(),
        ];
        let mut bytes = self.encode_to_vec();
        for omit in omissions {
            if bytes.len() <= PeerReport::DATAGRAM_BYTES {
                break;
            }
            omit(&mut self);
            bytes = self.encode_to_vec();
        }
        bytes
    }
}
