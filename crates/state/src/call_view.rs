//! What the ledger says about a key.

use crate::{ClaimRecord, OutcomeRecord};

/// State of one key as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallView {
    /// No record of the key is known. A key older than the call window looks the same: it can be
    /// used again, as the API states.
    Unseen,
    /// All claims are released or void.
    Free,
    /// This claim owns the key; whether it ran is not known.
    Owned(ClaimRecord),
    /// The answer is known.
    Settled(OutcomeRecord),
}
