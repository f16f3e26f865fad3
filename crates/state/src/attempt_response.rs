//! Response that a caller gets for an attempt of a call.

use crate::OutcomeRecord;

/// Response that is correct for an attempt at this time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResponse {
    /// Nothing final is known yet. At the caller's deadline this counts as `Unknown`.
    Pending,
    /// The call ran and ended with this outcome.
    Outcome(OutcomeRecord),
    /// The call did not run and no attempt made so far will run.
    NotRun,
    /// The call may have run or may still run.
    Unknown,
    /// The key was used for another request; this one did not run.
    KeyReused,
}
