//! Permit to send a call.

use crate::ClaimId;

/// Permit to send one call once. It can't be cloned, or created outside this package, so a call
/// whose permit was never handed out or was returned was never sent.
#[derive(Debug, PartialEq, Eq)]
pub struct DispatchPermit {
    claim_id: ClaimId,
}

impl DispatchPermit {
    pub(crate) fn new(claim_id: ClaimId) -> DispatchPermit {
        DispatchPermit { claim_id }
    }

    /// Returns the claim that the permit belongs to.
    pub fn claim_id(&self) -> ClaimId {
        self.claim_id
    }

    /// Consumes the permit. Call this before the first byte is written to a socket.
    pub fn spend(self) -> ClaimId {
        self.claim_id
    }
}
