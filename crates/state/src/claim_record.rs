//! Decoded claim record.

use bytes::Bytes;
use dragonflycart_core::{Incarnation, LogOffset, WallTime};
use dragonflycart_wire::CallClaim;

use crate::{CallKey, ClaimId, claim_id::incarnation_from_wire, claim_id::incarnation_to_wire};

/// Claim as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Identifier of the claim.
    pub claim_id: ClaimId,
    /// Incarnation that made the claim.
    pub owner: Incarnation,
    /// Number of the caller's attempt; zero if the caller did not state it.
    pub attempt: u32,
    /// Wall-clock time of the claim.
    pub made_at: WallTime,
    /// Digest of the request.
    pub request_digest: Bytes,
}

impl ClaimRecord {
    /// Decodes a claim.
    pub fn from_wire(claim: &CallClaim) -> ClaimRecord {
        ClaimRecord {
            claim_id: ClaimId::from_wire(&claim.claim_id),
            owner: incarnation_from_wire(&claim.owner),
            attempt: claim.attempt,
            made_at: WallTime::from_unix_millis(claim.made_at_ms),
            request_digest: claim.request_digest.clone(),
        }
    }

    /// Encodes the claim; as a copy of the record at `original` if that is given.
    pub fn to_wire(&self, key: &CallKey, original: Option<LogOffset>) -> CallClaim {
        CallClaim {
            team: key.team.clone(),
            key: key.key.clone(),
            claim_id: self.claim_id.to_wire(),
            owner: incarnation_to_wire(self.owner),
            made_at_ms: self.made_at.as_unix_millis(),
            request_digest: self.request_digest.clone(),
            original_offset_plus_one: original.map_or(0, |offset| offset.next().0),
            attempt: self.attempt,
        }
    }
}
