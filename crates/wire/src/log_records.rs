//! Records in the log service.
//!
//! Identifiers of 128 bits are encoded as 16 big-endian bytes.

use prost::{Message, Oneof};

/// Records written in one append. Writer and sequence together identify the append, so that a
/// repeated append has no second effect.
#[derive(Clone, PartialEq, Message)]
pub struct RecordBatch {
    /// Incarnation of the writing VM.
    #[prost(bytes = "bytes", tag = "1")]
    pub writer: bytes::Bytes,
    /// Sequence number of the append within the incarnation.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Wall-clock time of the append in Unix milliseconds; used only for record ages.
    #[prost(uint64, tag = "3")]
    pub written_at_ms: u64,
    /// Records in order.
    #[prost(message, repeated, tag = "4")]
    pub entries: Vec<LogEntry>,
}

/// One record.
#[derive(Clone, PartialEq, Message)]
pub struct LogEntry {
    /// Kind and content of the record.
    #[prost(oneof = "log_entry::Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<log_entry::Kind>,
}

/// Kinds of records.
pub mod log_entry {
    use super::{
        CallClaim, CallOutcome, CallRelease, JobAccepted, JobClaim, JobResult, LogCheckpoint,
        MoveEnd, Oneof, PlanProposal, PlanSnapshot,
    };

    /// Kind and content of one record.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Kind {
        /// Topic `plan`: a proposed plan.
        #[prost(message, tag = "1")]
        PlanProposal(PlanProposal),
        /// Topic `plan`: a copy of the plan in effect.
        #[prost(message, tag = "2")]
        PlanSnapshot(PlanSnapshot),
        /// Topic `calls`: a claim to execute a call.
        #[prost(message, tag = "3")]
        CallClaim(CallClaim),
        /// Topic `calls`: the outcome of a call.
        #[prost(message, tag = "4")]
        CallOutcome(CallOutcome),
        /// Topic `calls`: the release of a claim, before anything was sent.
        #[prost(message, tag = "5")]
        CallRelease(CallRelease),
        /// Topic `jobs`: an accepted deferred generation.
        #[prost(message, tag = "6")]
        JobAccepted(JobAccepted),
        /// Topic `jobs`: a claim to work on a deferred generation.
        #[prost(message, tag = "7")]
        JobClaim(JobClaim),
        /// Topic `jobs`: part of the result of a deferred generation.
        #[prost(message, tag = "8")]
        JobResult(JobResult),
        /// Topic `moves`: the end of a version move.
        #[prost(message, tag = "9")]
        MoveEnd(MoveEnd),
        /// Topics `calls` and `jobs`: the end of a series of copies of earlier records.
        #[prost(message, tag = "10")]
        LogCheckpoint(LogCheckpoint),
    }
}

/// Proposed plan. It is accepted if its base revision is the current one when it is read in log
/// order.
#[derive(Clone, PartialEq, Message)]
pub struct PlanProposal {
    /// Revision that the proposal builds on.
    #[prost(uint64, tag = "1")]
    pub base_revision: u64,
    /// Identifier of the submission; a second proposal with the same identifier has no effect.
    #[prost(string, tag = "2")]
    pub submit_id: String,
    /// Operator who submitted the plan.
    #[prost(string, tag = "3")]
    pub author: String,
    /// Plan as JSON.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: bytes::Bytes,
    /// Wall-clock time of the submission in Unix milliseconds.
    #[prost(uint64, tag = "5")]
    pub submitted_at_ms: u64,
}

/// Copy of the plan in effect, appended before the log removes the records that it came from.
#[derive(Clone, PartialEq, Message)]
pub struct PlanSnapshot {
    /// Revision of the plan. A snapshot with a lower revision than the current one is ignored.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Offset after the last record that the snapshot includes.
    #[prost(uint64, tag = "2")]
    pub as_of_offset: u64,
    /// Plan as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
    /// Operator who submitted the plan.
    #[prost(string, tag = "4")]
    pub author: String,
    /// Identifier of the submission of the plan.
    #[prost(string, tag = "5")]
    pub submit_id: String,
    /// Latest decided proposals, oldest first.
    #[prost(message, repeated, tag = "6")]
    pub decisions: Vec<ProposalDecision>,
    /// Wall-clock time at which the copy was made, in Unix milliseconds.
    #[prost(uint64, tag = "7")]
    pub made_at_ms: u64,
    /// Wall-clock time at which the plan was submitted, in Unix milliseconds.
    #[prost(uint64, tag = "8")]
    pub submitted_at_ms: u64,
}

/// Decision about one proposal.
#[derive(Clone, PartialEq, Message)]
pub struct ProposalDecision {
    /// Identifier of the submission.
    #[prost(string, tag = "1")]
    pub submit_id: String,
    /// Whether the proposal was accepted.
    #[prost(bool, tag = "2")]
    pub accepted: bool,
    /// Author of the accepted proposal, or of the one that won against a rejected proposal.
    #[prost(string, tag = "3")]
    pub author: String,
    /// Revision of the accepted proposal, or of the one that won against a rejected proposal.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
}

/// Claim to execute a call that is not idempotent.
#[derive(Clone, PartialEq, Message)]
pub struct CallClaim {
    /// Team of the caller.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Idempotency key of the caller.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Identifier of the claim.
    #[prost(bytes = "bytes", tag = "3")]
    pub claim_id: bytes::Bytes,
    /// Incarnation of the claiming VM.
    #[prost(bytes = "bytes", tag = "4")]
    pub owner: bytes::Bytes,
    /// Wall-clock time of the claim in Unix milliseconds.
    #[prost(uint64, tag = "5")]
    pub made_at_ms: u64,
    /// Digest of service, operation and body, to detect a key used for another request.
    #[prost(bytes = "bytes", tag = "6")]
    pub request_digest: bytes::Bytes,
    /// In a copy of an expiring claim: one more than the offset of the original. Zero in the
    /// original.
    #[prost(uint64, tag = "7")]
    pub original_offset_plus_one: u64,
    /// Number of the caller's attempt, from 1. Zero if the caller did not state it.
    #[prost(uint32, tag = "8")]
    pub attempt: u32,
}

/// Outcome of a call.
#[derive(Clone, PartialEq, Message)]
pub struct CallOutcome {
    /// Team of the caller.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Idempotency key of the caller.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Claim that the outcome belongs to.
    #[prost(bytes = "bytes", tag = "3")]
    pub claim_id: bytes::Bytes,
    /// HTTP status of the response, or zero if the outcome can't be known.
    #[prost(uint32, tag = "4")]
    pub status: u32,
    /// Body of the response.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: bytes::Bytes,
    /// Wall-clock time of the outcome in Unix milliseconds.
    #[prost(uint64, tag = "6")]
    pub made_at_ms: u64,
}

/// Release of a claim before any byte of the call was sent. Only the owner of the claim appends it.
///
/// A release that names an attempt also voids every claim of that attempt or an earlier one that
/// does not own the key at this position in the log. Otherwise a claim of an earlier attempt that
/// is appended late would run after the caller was told that nothing runs.
#[derive(Clone, PartialEq, Message)]
pub struct CallRelease {
    /// Team of the caller.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Idempotency key of the caller.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Claim that is released.
    #[prost(bytes = "bytes", tag = "3")]
    pub claim_id: bytes::Bytes,
    /// Highest attempt whose claims are voided. Zero voids no claim other than the named one.
    #[prost(uint32, tag = "4")]
    pub through_attempt: u32,
    /// In a copy of an expiring release: one more than the offset of the original. Zero in the
    /// original.
    #[prost(uint64, tag = "5")]
    pub original_offset_plus_one: u64,
    /// Wall-clock time of the release in Unix milliseconds.
    #[prost(uint64, tag = "6")]
    pub made_at_ms: u64,
}

/// End of a series of copies of all records of a topic that are still needed. A reader that reads
/// from `as_of_offset` or an earlier offset up to this record misses nothing.
#[derive(Clone, PartialEq, Message)]
pub struct LogCheckpoint {
    /// Offset after the last record that the copies include. The copies follow it.
    #[prost(uint64, tag = "1")]
    pub as_of_offset: u64,
    /// Wall-clock time at which the copies were made, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub made_at_ms: u64,
}

/// Accepted deferred generation.
#[derive(Clone, PartialEq, Message)]
pub struct JobAccepted {
    /// Team of the caller.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Idempotency key of the caller.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Request as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub request: bytes::Bytes,
    /// Wall-clock time of acceptance in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub accepted_at_ms: u64,
    /// In a copy of an expiring record: one more than the offset of the original. Zero in the
    /// original.
    #[prost(uint64, tag = "5")]
    pub original_offset_plus_one: u64,
}

/// Claim of a VM to work on a deferred generation.
#[derive(Clone, PartialEq, Message)]
pub struct JobClaim {
    /// Team of the caller.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Idempotency key of the caller.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Incarnation of the claiming VM.
    #[prost(bytes = "bytes", tag = "3")]
    pub worker: bytes::Bytes,
    /// Number of the attempt, from 1.
    #[prost(uint32, tag = "4")]
    pub attempt: u32,
    /// In a copy of an expiring record: one more than the offset of the original. Zero in the
    /// original.
    #[prost(uint64, tag = "5")]
    pub original_offset_plus_one: u64,
}

/// Part of the result of a deferred generation.
#[derive(Clone, PartialEq, Message)]
pub struct JobResult {
    /// Team of the caller.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Idempotency key of the caller.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Attempt that produced the result. Parts of different attempts are never joined.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// Incarnation of the VM that ran the attempt.
    #[prost(bytes = "bytes", tag = "4")]
    pub worker: bytes::Bytes,
    /// Number of this part, from 0.
    #[prost(uint32, tag = "5")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "6")]
    pub parts: u32,
    /// Content of the part.
    #[prost(bytes = "bytes", tag = "7")]
    pub body: bytes::Bytes,
    /// In a copy of an expiring part: one more than the offset of the original. Zero in the
    /// original.
    #[prost(uint64, tag = "8")]
    pub original_offset_plus_one: u64,
}

/// End of a version move.
#[derive(Clone, PartialEq, Message)]
pub struct MoveEnd {
    /// Identifier of the move.
    #[prost(string, tag = "1")]
    pub move_id: String,
    /// True for a rollback, false for a completed move.
    #[prost(bool, tag = "2")]
    pub rolled_back: bool,
    /// Reason with the evidence, for operators.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// Wall-clock time of the end in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub ended_at_ms: u64,
}
