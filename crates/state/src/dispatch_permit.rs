//! Right to send a call.

use crate::ClaimId;

/// Right to send one call once. It can't be cloned or built outside this package, so a call for
/// which no permit was handed out, or whose permit came back, was never sent.
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

    /// Uses the permit up. Call it before the first byte is passed to a socket.
    pub fn spend(self) -> ClaimId {
        self.claim_id
    }
}
