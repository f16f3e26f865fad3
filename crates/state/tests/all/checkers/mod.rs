//! Checkers of invariants over a trace of events, one module each.

pub mod at_most_once;
pub mod monotone_plan;
pub mod not_run_truth;
pub mod token_delivery;

/// Result of a checker. The error says what is wrong with the trace.
pub type CheckResult = Result<(), String>;

/// Event of a call, as seen from outside the VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEvent {
    /// The service received the call.
    Ran { key: usize, attempt: u32, digest: u8, run: u64 },
    /// A caller was told that its attempt and all before it did not run and will not run.
    ToldNotRun { key: usize, attempt: u32 },
    /// A caller got the response of a run.
    ToldAnswer { key: usize, digest: u8, run: u64 },
}
