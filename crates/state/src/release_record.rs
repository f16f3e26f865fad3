//! Decoded release record.

use dragonflycart_core::{LogOffset, WallTime};
use dragonflycart_wire::CallRelease;

use crate::{CallKey, ClaimId};

/// Release as read from the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReleaseRecord {
    /// Claim that is released; zero if the release only voids attempts.
    pub claim_id: ClaimId,
    /// Highest attempt whose claims are voided; zero for none.
    pub through_attempt: u32,
    /// Wall-clock time of the release.
    pub made_at: WallTime,
}

impl ReleaseRecord {
    /// Decodes a release.
    pub fn from_wire(release: &CallRelease) -> ReleaseRecord {
        ReleaseRecord {
            claim_id: ClaimId::from_wire(&release.claim_id),
            through_attempt: release.through_attempt,
            made_at: WallTime::from_unix_millis(release.made_at_ms),
        }
    }

    /// Encodes the release; as a copy of the record at `original` if that is given.
    pub fn to_wire(self, key: &CallKey, original: Option<LogOffset>) -> CallRelease {
        CallRelease {
            team: key.team.clone(),
            key: key.key.clone(),
            claim_id: self.claim_id.to_wire(),
            through_attempt: self.through_attempt,
            original_offset_plus_one: original.map_or(0, |offset| offset.next().0),
            made_at_ms: self.made_at.as_unix_millis(),
        }
    }
}
