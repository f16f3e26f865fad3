//! Records of the log service and messages between entry VMs.
//!
//! The structs derive their protobuf encoding, so the build needs no generator. Field numbers are
//! never reused; a field that an older program does not know is skipped.

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
