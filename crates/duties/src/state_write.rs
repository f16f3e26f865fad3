//! State that a holder wants to write.

use crate::DutyState;

/// State that a holder wants to write with its next record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateWrite {
    /// State.
    pub state: DutyState,
    /// Whether it is written at once, rather than with the next renewal.
    pub is_due: bool,
}
