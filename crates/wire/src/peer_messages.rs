//! Messages between entry VMs.

use prost::{Message, Oneof};

use crate::ProposalDecision;

/// One message between entry VMs.
#[derive(Clone, PartialEq, Message)]
pub struct PeerMessage {
    /// Kind and content of the message.
    #[prost(oneof = "peer_message::Kind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<peer_message::Kind>,
}

/// Kinds of messages.
pub mod peer_message {
    use dragonflycart_containment::SuspectReport;

    use super::{Evidence, GossipUpdate, Heartbeat, Hello, Oneof, PlanCopy, PlanFetch};

    /// Kind and content of one message.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Kind {
        /// First message on a connection.
        #[prost(message, tag = "1")]
        Hello(Hello),
        /// Periodic message that shows that the sender is alive.
        #[prost(message, tag = "2")]
        Heartbeat(Heartbeat),
        /// Request for the plan in effect.
        #[prost(message, tag = "3")]
        PlanFetch(PlanFetch),
        /// The plan in effect.
        #[prost(message, tag = "4")]
        PlanCopy(PlanCopy),
        /// State that all VMs merge.
        #[prost(message, tag = "5")]
        GossipUpdate(GossipUpdate),
        /// Request counters per model version.
        #[prost(message, tag = "6")]
        Evidence(Evidence),
        /// Parts of prompts that may crash engines.
        #[prost(message, tag = "7")]
        Suspects(SuspectReport),
    }
}

/// First message on a connection, from both ends.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Incarnation of the sender, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub incarnation: bytes::Bytes,
    /// Ordinal of the sender in its availability zone.
    #[prost(uint32, tag = "2")]
    pub ordinal: u32,
    /// Availability zone of the sender.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address at which the sender accepts peer connections.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Version of the protocol.
    #[prost(uint32, tag = "5")]
    pub protocol: u32,
}

/// Periodic message that shows that the sender is alive.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Plan revision in effect on the sender.
    #[prost(uint64, tag = "1")]
    pub plan_revision: u64,
    /// Whether the sender is draining.
    #[prost(bool, tag = "2")]
    pub draining: bool,
    /// Whether the sender can read the log service.
    #[prost(bool, tag = "3")]
    pub log_reachable: bool,
    /// Sequence number of the heartbeat within the incarnation.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
}

/// Request for the plan in effect.
#[derive(Clone, PartialEq, Message)]
pub struct PlanFetch {}

/// The plan in effect on the sender.
#[derive(Clone, PartialEq, Message)]
pub struct PlanCopy {
    /// Revision of the plan.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Plan as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
    /// Operator who submitted the plan.
    #[prost(string, tag = "3")]
    pub author: String,
    /// Identifier of the submission.
    #[prost(string, tag = "4")]
    pub submit_id: String,
    /// Offset after the last record of topic `plan` that the copy includes.
    #[prost(uint64, tag = "5")]
    pub as_of_offset: u64,
    /// Latest decided proposals, oldest first.
    #[prost(message, repeated, tag = "6")]
    pub decisions: Vec<ProposalDecision>,
    /// Wall-clock time at which the plan was submitted, in Unix milliseconds.
    #[prost(uint64, tag = "7")]
    pub submitted_at_ms: u64,
}

/// States of version moves and overrides of availability zones. Each one only increases, so
/// receivers merge them by maximum.
#[derive(Clone, PartialEq, Message)]
pub struct GossipUpdate {
    /// Version moves.
    #[prost(message, repeated, tag = "1")]
    pub moves: Vec<MoveStateUpdate>,
    /// Overrides of availability zones.
    #[prost(message, repeated, tag = "2")]
    pub zones: Vec<ZoneOverride>,
}

/// State of a version move: 0 running, 1 done, 2 rolled back. Merged by maximum.
#[derive(Clone, PartialEq, Message)]
pub struct MoveStateUpdate {
    /// Identifier of the move.
    #[prost(string, tag = "1")]
    pub move_id: String,
    /// State of the move.
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// Reason, for operators.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// Plan revision in effect when the state was set.
    #[prost(uint64, tag = "4")]
    pub set_at_revision: u64,
}

/// Availability zone that an operator took out of service without using the log service.
#[derive(Clone, PartialEq, Message)]
pub struct ZoneOverride {
    /// Availability zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Plan revision in effect when the override was set. The override ends with a higher revision
    /// that was submitted after it was set.
    #[prost(uint64, tag = "2")]
    pub set_at_revision: u64,
    /// Operator who set the override.
    #[prost(string, tag = "3")]
    pub author: String,
    /// Wall-clock time at which the override was set, in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub set_at_ms: u64,
}

/// Request counters per model version, as counted by one VM since its start. Receivers keep the
/// highest counters per incarnation, so lost and repeated messages do no harm.
#[derive(Clone, PartialEq, Message)]
pub struct Evidence {
    /// Incarnation that counted, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub incarnation: bytes::Bytes,
    /// Counters.
    #[prost(message, repeated, tag = "2")]
    pub counters: Vec<EvidenceCounter>,
}

/// Counters of one model version on one route within one time bucket.
#[derive(Clone, PartialEq, Message)]
pub struct EvidenceCounter {
    /// Model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Route.
    #[prost(string, tag = "3")]
    pub route: String,
    /// Finished requests.
    #[prost(uint64, tag = "4")]
    pub finished: u64,
    /// Requests that failed because of the version.
    #[prost(uint64, tag = "5")]
    pub failed: u64,
    /// Requests that were slower than the objective.
    #[prost(uint64, tag = "6")]
    pub slow: u64,
    /// Start of the time bucket in Unix seconds.
    #[prost(uint64, tag = "7")]
    pub bucket_s: u64,
}
