//! State of a key in the ledger.

use crate::{ClaimRecord, OutcomeRecord};

/// State of one key as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallView {
    /// No record of the key is known. This is also the state of a key older than the call window,
    /// which can be used again, as the API documents.
    Unseen,
    /// All claims are released or void.
    Free,
    /// This claim owns the key; whether it ran is not known.
    Owned(ClaimRecord),
    /// The call ran and its response is known.
    Settled(OutcomeRecord),
}
