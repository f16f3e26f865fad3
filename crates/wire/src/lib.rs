//! Records in the log service and messages between entry VMs.
//!
//! The structs derive their protobuf encoding, so the build needs no code generator. Field numbers
//! are never reused; an older program skips fields that it does not know.

mod frame_codec;
mod log_records;
mod peer_messages;

pub use crate::{
    frame_codec::{FrameCodec, FrameError},
    log_records::{
        CallClaim, CallOutcome, CallRelease, JobAccepted, JobClaim, JobResult, LogCheckpoint,
        LogEntry, MoveEnd, PlanProposal, PlanSnapshot, ProposalDecision, RecordBatch, log_entry,
    },
    peer_messages::{
        Evidence, EvidenceCounter, GossipUpdate, Heartbeat, Hello, MoveStateUpdate, PeerMessage,
        PlanCopy, PlanFetch, ZoneOverride, peer_message,
    },
};
