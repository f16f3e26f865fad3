//! Replicated state as pure values: plan, call ledger, latches, membership.
//!
//! What must never revert or never happen twice is ordered by the log and folded here. Nothing
//! does I/O or reads a clock, so that tests can run every interleaving of faults.

mod attempt_answer;
mod call_attempt;
mod call_key;
mod call_ledger;
mod call_view;
mod claim_id;
mod claim_note;
mod dispatch_permit;
mod given_up_claims;
mod key_history;
mod ledger_limits;
mod outcome_note;
mod plan_log;
mod plan_state;
mod plan_verdict;
mod release_note;

pub use crate::{
    attempt_answer::AttemptAnswer,
    call_attempt::CallAttempt,
    call_key::CallKey,
    call_ledger::CallLedger,
    call_view::CallView,
    claim_id::{ClaimId, incarnation_from_wire, incarnation_to_wire},
    claim_note::ClaimNote,
    dispatch_permit::DispatchPermit,
    given_up_claims::GivenUpClaims,
    key_history::KeyHistory,
    ledger_limits::LedgerLimits,
    outcome_note::OutcomeNote,
    plan_log::PlanLog,
    plan_state::PlanState,
    plan_verdict::PlanVerdict,
    release_note::ReleaseNote,
};
