//! Releases that are not in the log yet.

use std::collections::BTreeMap;

use dragonflycart_core::WallTime;
use dragonflycart_wire::CallRelease;

use crate::{CallKey, CallLedger, ClaimId, LedgerLimits, ReleaseRecord};

/// Releases of this VM that were not read from the log yet.
///
/// A claim whose append was reported as lost can still be appended much later and then blocks its
/// key until its owner releases it. Each release is therefore repeated until it was read from the
/// log.
#[derive(Debug, Clone, Default)]
pub struct PendingReleases {
    releases: BTreeMap<ClaimId, (CallKey, ReleaseRecord)>,
}

impl PendingReleases {
    /// Adds a release that `CallAttempt::give_up` returned.
    pub fn add(&mut self, release: &CallRelease) {
        let record = ReleaseRecord::from_wire(release);
        if record.claim_id == ClaimId::default() {
            return;
        }
        let key = CallKey::new(&release.team, &release.key);
        self.releases.insert(record.claim_id, (key, record));
    }

    /// Removes releases that were read from the log or are older than the call window, and returns
    /// the others to be appended again. Call it once per repeat interval.
    pub fn due(
        &mut self,
        ledger: &CallLedger,
        limits: LedgerLimits,
        now: WallTime,
    ) -> Vec<CallRelease> {
        self.releases.retain(|claim_id, (key, record)| {
            let within_window = now.since(record.made_at) < limits.lifetime();
            within_window && !ledger.is_released(key, *claim_id)
        });
        self.releases.values().map(|(key, record)| record.to_wire(key, None)).collect()
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
