//! Records of one key, in the order of their first appearance in the log.

use std::collections::{BTreeMap, BTreeSet};

use dragonflycart_core::{LogOffset, WallTime};
use dragonflycart_wire::log_entry::Kind;

use crate::{CallKey, ClaimId, ClaimRecord, OutcomeRecord, ReleaseRecord};

/// Maximum number of claims, and of releases, kept per key. The first ones in log order are kept,
/// so that all readers agree; later claims never own the key and their VMs give them up. A caller
/// reaches the limit only by sending one key repeatedly without waiting for a response.
const MAX_CLAIMS_PER_KEY: usize = 64;

/// Records of one key.
///
/// The owner depends on the first offsets of the records and not on the order in which they were
/// read, so originals, copies and duplicates may arrive in any order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeyHistory {
    claims: BTreeMap<ClaimId, (LogOffset, ClaimRecord)>,
    releases: BTreeMap<(ClaimId, u32), (LogOffset, ReleaseRecord)>,
    outcome: Option<OutcomeRecord>,
}

impl KeyHistory {
    /// Adds a claim that first appeared at `offset`.
    pub fn add_claim(&mut self, offset: LogOffset, record: ClaimRecord) {
        let claim_id = record.claim_id;
        let (known, _) = self.claims.entry(claim_id).or_insert((offset, record));
        *known = offset.min(*known);
        if self.claims.len() > MAX_CLAIMS_PER_KEY {
            let last = self.claims.iter().max_by_key(|(id, (offset, _))| (*offset, **id));
            if let Some(last) = last.map(|(claim_id, _)| *claim_id) {
                self.claims.remove(&last);
            }
        }
    }

    /// Adds a release that first appeared at `offset`.
    pub fn add_release(&mut self, offset: LogOffset, record: ReleaseRecord) {
        let identity = (record.claim_id, record.through_attempt);
        let (known, _) = self.releases.entry(identity).or_insert((offset, record));
        *known = offset.min(*known);
        if self.releases.len() > MAX_CLAIMS_PER_KEY {
            let last = self.releases.iter().max_by_key(|(id, (offset, _))| (*offset, **id));
            if let Some(last) = last.map(|(identity, _)| *identity) {
                self.releases.remove(&last);
            }
        }
    }

    /// Adds an outcome. A known response replaces an unknown one, never the reverse.
    pub fn add_outcome(&mut self, record: OutcomeRecord) {
        if self.outcome.as_ref().is_some_and(OutcomeRecord::is_known) {
            return;
        }
        self.outcome = Some(record);
    }

    /// Returns the outcome, if one is in the log.
    pub fn outcome(&self) -> Option<&OutcomeRecord> {
        self.outcome.as_ref()
    }

    /// Returns a claim by its identifier.
    pub fn claim(&self, claim_id: ClaimId) -> Option<&ClaimRecord> {
        self.claims.get(&claim_id).map(|(_, record)| record)
    }

    /// Returns the claim that owns the key: the first in log order that is neither released nor
    /// voided.
    pub fn owner(&self) -> Option<&ClaimRecord> {
        let first = *self.open_claims().first()?;
        self.claim(first)
    }

    /// Returns the claims that are neither released nor voided, in log order.
    pub fn open_claims(&self) -> Vec<ClaimId> {
        let mut open: Vec<ClaimId> = Vec::new();
        let mut released: BTreeSet<ClaimId> = BTreeSet::new();
        let mut voided_through = 0;
        for record in self.ownership_records() {
            match record {
                OwnershipRecord::Claim(claim) => {
                    let voided = voided_through > 0 && claim.attempt <= voided_through;
                    if !voided && !released.contains(&claim.claim_id) {
                        open.push(claim.claim_id);
                    }
                }
                OwnershipRecord::Release(release) => {
                    let owner = open.first().copied();
                    released.insert(release.claim_id);
                    voided_through = voided_through.max(release.through_attempt);
                    open.retain(|claim_id| {
                        *claim_id != release.claim_id
                            && (Some(*claim_id) == owner
                                || !self.is_voided(*claim_id, voided_through))
                    });
                }
            }
        }
        open
    }

    /// Returns the highest attempt whose claims are void unless they own the key.
    pub fn voided_through(&self) -> u32 {
        self.releases.keys().map(|(_, through)| *through).max().unwrap_or(0)
    }

    /// Returns whether a release of this claim was read.
    pub fn is_released(&self, claim_id: ClaimId) -> bool {
        self.releases.keys().any(|(released, _)| *released == claim_id)
    }

    /// Returns the wall-clock time of the latest record.
    pub fn latest(&self) -> WallTime {
        let claims = self.claims.values().map(|(_, record)| record.made_at);
        let releases = self.releases.values().map(|(_, record)| record.made_at);
        let outcomes = self.outcome.iter().map(|record| record.made_at);
        claims.chain(releases).chain(outcomes).max().unwrap_or_default()
    }

    /// Returns all records as copies.
    pub fn copies(&self, key: &CallKey) -> Vec<Kind> {
        let mut kinds = Vec::new();
        for (offset, record) in self.claims.values() {
            kinds.push(Kind::CallClaim(record.to_wire(key, Some(*offset))));
        }
        for (offset, record) in self.releases.values() {
            kinds.push(Kind::CallRelease(record.to_wire(key, Some(*offset))));
        }
        if let Some(record) = &self.outcome {
            kinds.push(Kind::CallOutcome(record.to_wire(key)));
        }
        kinds
    }

    /// Returns whether the number of the claim's attempt is at most `voided_through`; never if that
    /// is zero.
    fn is_voided(&self, claim_id: ClaimId, voided_through: u32) -> bool {
        voided_through > 0
            && self.claim(claim_id).is_some_and(|record| record.attempt <= voided_through)
    }

    /// Returns the claims and releases in log order; within one append, claims come first.
    fn ownership_records(&self) -> Vec<OwnershipRecord<'_>> {
        let mut records: Vec<(LogOffset, u8, ClaimId, OwnershipRecord<'_>)> = Vec::new();
        for (offset, record) in self.claims.values() {
            records.push((*offset, 0, record.claim_id, OwnershipRecord::Claim(record)));
        }
        for (offset, record) in self.releases.values() {
            records.push((*offset, 1, record.claim_id, OwnershipRecord::Release(record)));
        }
        records.sort_by_key(|(offset, rank, claim_id, _)| (*offset, *rank, *claim_id));
        records.into_iter().map(|(.., record)| record).collect()
    }
}

/// Record that affects the ownership of the key.
enum OwnershipRecord<'a> {
    Claim(&'a ClaimRecord),
    Release(&'a ReleaseRecord),
}
