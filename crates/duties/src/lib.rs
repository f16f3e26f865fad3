//! Duties that one VM of the fleet carries out at a time.
//!
//! The [`DutyLease`] decides which VM that is. The lease is a sequence of [`DutyRecord`]s in a log
//! that accepts an append only at its current end. A holder stops by itself before any other VM may
//! take over, because nobody else rejects its late calls.
//!
//! Nothing here does I/O or reads a clock. The owner makes the calls that a [`LeaseStep`] asks for
//! and reports their results.

mod append_result;
mod count_copies;
mod duty_lease;
mod duty_message;
mod duty_record;
mod heard_share;
mod lease_change;
mod lease_permit;
mod lease_step;
mod lease_terms;
mod lease_time;
mod log_tail;
mod scale_control;
mod state_write;
mod true_clock;
mod usage_counter;
mod usage_windows;

pub use crate::{
    append_result::AppendResult,
    count_copies::CountCopies,
    duty_lease::DutyLease,
    duty_message::{
        DutyMessage, HolderNews, MESSAGE_BYTES, UsageNews, UsageReceipt, WaitingCount, WindowCounts,
    },
    duty_record::{DutyRecord, DutyState, ReportContent, ScaleOrder, TeamCount},
    heard_share::hears_enough,
    lease_change::LeaseChange,
    lease_permit::LeasePermit,
    lease_step::LeaseStep,
    lease_terms::LeaseTerms,
    lease_time::LeaseTime,
    log_tail::LogTail,
    scale_control::{ScaleBounds, ScaleControl, ZoneDemand},
    state_write::StateWrite,
    true_clock::TrueClock,
    usage_counter::UsageCounter,
    usage_windows::{UsageWindows, WindowTerms},
};
