//! Claims that were given up and whose release is not in the log yet.

use std::collections::BTreeMap;

use dragonflycart_core::WallTime;
use dragonflycart_wire::CallRelease;

use crate::{CallKey, CallLedger, ClaimId, LedgerLimits, ReleaseRecord};

/// Releases that this VM still owes to the log.
///
/// A claim whose append was reported as lost can land much later and then blocks its key until
/// its owner releases it, so each release is repeated until it was read from the log.
#[derive(Debug, Clone, Default)]
pub struct PendingReleases {
    releases: BTreeMap<ClaimId, (CallKey, ReleaseRecord)>,
}

impl PendingReleases {
    /// Adds a release that was handed out by `CallAttempt::give_up`.
    pub fn add(&mut self, release: &CallRelease) {
        let note = ReleaseRecord::from_wire(release);
        if note.claim_id == ClaimId::default() {
            return;
        }
        let key = CallKey::new(&release.team, &release.key);
        self.releases.insert(note.claim_id, (key, note));
    }

    /// Removes releases that were read from the log or are older than the call window, and returns
    /// the others to be appended again. Call it once per repeat interval.
    pub fn due(
        &mut self,
        ledger: &CallLedger,
        limits: LedgerLimits,
        now: WallTime,
    ) -> Vec<CallRelease> {
        self.releases.retain(|claim_id, (key, note)| {
            let young = now.since(note.made_at) < limits.lifetime();
            young && !ledger.is_released(key, *claim_id)
        });
        self.releases.values().map(|(key, note)| note.to_wire(key, None)).collect()
    }

    /// Returns the number of releases that are not in the log yet.
    pub fn len(&self) -> usize {
        self.releases.len()
    }

    /// Returns whether all releases are in the log.
    pub fn is_empty(&self) -> bool {
        self.releases.is_empty()
    }
}
