//! Decoded outcome record.

use bytes::Bytes;
use dragonflycart_core::WallTime;
use dragonflycart_wire::CallOutcome;

use crate::{CallKey, ClaimId};

/// Outcome of a call as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutcomeRecord {
    /// Claim that ran.
    pub claim_id: ClaimId,
    /// HTTP status of the response, or zero if the outcome can't be known.
    pub status: u32,
    /// Body of the response.
    pub body: Bytes,
    /// Wall-clock time of the outcome.
    pub made_at: WallTime,
}

impl OutcomeRecord {
    /// Decodes an outcome.
    pub fn from_wire(outcome: &CallOutcome) -> OutcomeRecord {
        OutcomeRecord {
            claim_id: ClaimId::from_wire(&outcome.claim_id),
            status: outcome.status,
            body: outcome.body.clone(),
            made_at: WallTime::from_unix_millis(outcome.made_at_ms),
        }
    }

    /// Encodes the outcome. The order of outcomes does not matter, so a copy equals the original.
    pub fn to_wire(&self, key: &CallKey) -> CallOutcome {
        CallOutcome {
            team: key.team.clone(),
            key: key.key.clone(),
            claim_id: self.claim_id.to_wire(),
            status: self.status,
            body: self.body.clone(),
            made_at_ms: self.made_at.as_unix_millis(),
        }
    }

    /// Returns whether the response is known.
    pub fn is_known(&self) -> bool {
        self.status != 0
    }
}
