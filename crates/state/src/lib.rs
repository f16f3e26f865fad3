//! Replicated state: plan, ledgers of calls and jobs, gossip state and membership.
//!
//! State that must never revert, and work that must never run twice, is ordered by the log; the
//! types of this package replay its records. None of them does I/O or reads a clock, so that tests
//! can run any interleaving of faults.

mod append_deduplicator;
mod append_rate_limiter;
mod attempt_response;
mod result_parts;
mod batch_writer;
mod call_attempt;
mod call_key;
mod call_ledger;
mod call_view;
mod checkpoint_pass;
mod claim_id;
mod claim_record;
mod dispatch_permit;
mod evidence_counts;
mod evidence_store;
mod evidence_subject;
mod gossip_state;
mod job_history;
mod job_ledger;
mod job_view;
mod key_history;
mod ledger_limits;
mod log_coverage;
mod member_info;
mod member_state;
mod member_table;
mod outcome_record;
mod pending_releases;
mod plan_decision;
mod plan_log;
mod plan_state;
mod release_record;
mod resume_point;
mod stream_assembler;
mod token_decision;
mod writer_error;
mod writer_limits;
mod writer_action;

pub use dragonflycart_core::MoveState;

pub use crate::{
    append_deduplicator::AppendDeduplicator,
    append_rate_limiter::AppendRateLimiter,
    attempt_response::AttemptResponse,
    batch_writer::BatchWriter,
    call_attempt::CallAttempt,
    call_key::CallKey,
    call_ledger::CallLedger,
    call_view::CallView,
    checkpoint_pass::CheckpointPass,
    claim_id::{ClaimId, incarnation_from_wire, incarnation_to_wire},
    claim_record::ClaimRecord,
    dispatch_permit::DispatchPermit,
    evidence_counts::EvidenceCounts,
    evidence_store::EvidenceStore,
    evidence_subject::EvidenceSubject,
    gossip_state::GossipState,
    job_history::JobHistory,
    job_ledger::JobLedger,
    job_view::JobView,
    key_history::KeyHistory,
    ledger_limits::LedgerLimits,
    log_coverage::LogCoverage,
    member_info::MemberInfo,
    member_state::MemberState,
    member_table::MemberTable,
    outcome_record::OutcomeRecord,
    pending_releases::PendingReleases,
    plan_decision::PlanDecision,
    plan_log::PlanLog,
    plan_state::PlanState,
    release_record::ReleaseRecord,
    result_parts::ResultParts,
    resume_point::ResumePoint,
    stream_assembler::StreamAssembler,
    token_decision::TokenDecision,
    writer_action::WriterAction,
    writer_error::WriterError,
    writer_limits::WriterLimits,
};
