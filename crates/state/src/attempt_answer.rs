//! What a caller may be told about a call.

use crate::OutcomeRecord;

/// Answer that is correct for a call at this moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptAnswer {
    /// Nothing final is known yet. At the caller's deadline it means the same as `Unknown`.
    Pending,
    /// The call ran with this answer.
    Outcome(OutcomeRecord),
    /// The call did not run and no attempt made so far will run.
    NotRun,
    /// The call may have run or may still run.
    Unknown,
    /// The key belongs to another request; this one did not run.
    KeyReused,
}
