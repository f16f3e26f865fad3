//! Containment of prompts that crash engines.
//!
//! A part of a prompt may crash each engine that begins to write an answer on it. A single crash
//! proves nothing: other generations end with the engine, and engines end for other reasons. The
//! [`CrashLedger`] adds up which parts were being begun when engines crashed, over all VMs, and
//! removes parts that were seen to be sound. A part that remains is contained: requests with it are
//! refused at once. Engines that end together for another reason look the same if all of them had
//! begun the part, so a part whose crashes all came at one moment is tried again at once.
//!
//! Nothing here does I/O or reads a clock. The owner of a ledger tells it what was observed,
//! exchanges its [`SuspectRecord`]s with the other VMs, and acts on its [`PartVerdict`]s.

mod broken_generation;
mod contained_part;
mod crash_ledger;
mod engine_run;
mod ledger_change;
mod part_verdict;
mod sound_parts;
mod suspect_part;
mod suspect_record;
mod suspect_report;
mod trial_schedule;

pub use crate::{
    contained_part::ContainedPart,
    crash_ledger::{CrashLedger, WRITING_PROOF},
    engine_run::EngineRun,
    ledger_change::LedgerChange,
    part_verdict::PartVerdict,
    suspect_record::SuspectRecord,
    suspect_report::{CrashEntry, SuspectEntry, SuspectReport},
};
