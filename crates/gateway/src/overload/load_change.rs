//! Change of what a VM refuses.

use super::RefusalReason;

/// Begin or end of the refusal of new requests for one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadChange {
    /// New requests are refused from now on.
    Begins(RefusalReason),
    /// They are admitted again. `refused` requests were refused meanwhile.
    Ends {
        /// Reason of the refusals.
        reason: RefusalReason,
        /// Number of refused requests.
        refused: u64,
    },
}
