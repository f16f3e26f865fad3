//! Records of one key, in the order of their first appearance in the log.

use std::collections::{BTreeMap, BTreeSet};

use dragonflycart_core::{LogOffset, WallTime};
use dragonflycart_wire::log_entry::Kind;

use crate::{CallKey, ClaimId, ClaimRecord, OutcomeRecord, ReleaseRecord};

/// Claims remembered per key, and releases likewise. The first ones in log order are kept, which
/// all readers agree on; later claims never own the key and their VMs give them up. A caller
/// reaches the limit only by sending one key over and over without waiting for an answer.
const CLAIMS_PER_KEY: usize = 64;

/// Records of one key.
///
/// The owner is computed from the first offsets of the records and not from the order in which
/// they were read, so that copies, duplicates and originals may arrive in any order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeyHistory {
    claims: BTreeMap<ClaimId, (LogOffset, ClaimRecord)>,
    releases: BTreeMap<(ClaimId, u32), (LogOffset, ReleaseRecord)>,
    outcome: Option<OutcomeRecord>,
}

impl KeyHistory {
    /// Adds a claim that first appeared at `offset`.
    pub fn add_claim(&mut self, offset: LogOffset, note: ClaimRecord) {
        let claim_id = note.claim_id;
        let (known, _) = self.claims.entry(claim_id).or_insert((offset, note));
        *known = offset.min(*known);
        if self.claims.len() > CLAIMS_PER_KEY {
            let last = self.claims.iter().max_by_key(|(id, (offset, _))| (*offset, **id));
            if let Some(last) = last.map(|(claim_id, _)| *claim_id) {
                self.claims.remove(&last);
            }
        }
    }

    /// Adds a release that first appeared at `offset`.
    pub fn add_release(&mut self, offset: LogOffset, note: ReleaseRecord) {
        let identity = (note.claim_id, note.through_attempt);
        let (known, _) = self.releases.entry(identity).or_insert((offset, note));
        *known = offset.min(*known);
        if self.releases.len() > CLAIMS_PER_KEY {
            let last = self.releases.iter().max_by_key(|(id, (offset, _))| (*offset, **id));
            if let Some(last) = last.map(|(identity, _)| *identity) {
                self.releases.remove(&last);
            }
        }
    }

    /// Adds an outcome. A known answer replaces an unknown one, never the reverse.
    pub fn add_outcome(&mut self, note: OutcomeRecord) {
        if self.outcome.as_ref().is_some_and(OutcomeRecord::is_known) {
            return;
        }
        self.outcome = Some(note);
    }

    /// Returns the outcome, if one is in the log.
    pub fn outcome(&self) -> Option<&OutcomeRecord> {
        self.outcome.as_ref()
    }

    /// Returns a claim by its identity.
    pub fn claim(&self, claim_id: ClaimId) -> Option<&ClaimRecord> {
        self.claims.get(&claim_id).map(|(_, note)| note)
    }

    /// Returns the claim that owns the key: the first in log order that is neither released nor
    /// voided.
    pub fn owner(&self) -> Option<&ClaimRecord> {
        let first = *self.open_claims().first()?;
        self.claim(first)
    }

    /// Returns the claims that are neither released nor voided, in log order.
    pub fn open_claims(&self) -> Vec<ClaimId> {
        let mut queue: Vec<ClaimId> = Vec::new();
        let mut released: BTreeSet<ClaimId> = BTreeSet::new();
        let mut fence = 0;
        for step in self.steps() {
            match step {
                Step::Claim(note) => {
                    let voided = fence > 0 && note.attempt <= fence;
                    if !voided && !released.contains(&note.claim_id) {
                        queue.push(note.claim_id);
                    }
                }
                Step::Release(note) => {
                    let owner = queue.first().copied();
                    released.insert(note.claim_id);
                    fence = fence.max(note.through_attempt);
                    queue.retain(|claim_id| {
                        *claim_id != note.claim_id
                            && (Some(*claim_id) == owner || !self.is_voided(*claim_id, fence))
                    });
                }
            }
        }
        queue
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
        let claims = self.claims.values().map(|(_, note)| note.made_at);
        let releases = self.releases.values().map(|(_, note)| note.made_at);
        let outcomes = self.outcome.iter().map(|note| note.made_at);
        claims.chain(releases).chain(outcomes).max().unwrap_or_default()
    }

    /// Returns all records as copies.
    pub fn copies(&self, key: &CallKey) -> Vec<Kind> {
        let mut kinds = Vec::new();
        for (offset, note) in self.claims.values() {
            kinds.push(Kind::CallClaim(note.to_wire(key, Some(*offset))));
        }
        for (offset, note) in self.releases.values() {
            kinds.push(Kind::CallRelease(note.to_wire(key, Some(*offset))));
        }
        if let Some(note) = &self.outcome {
            kinds.push(Kind::CallOutcome(note.to_wire(key)));
        }
        kinds
    }

    fn is_voided(&self, claim_id: ClaimId, fence: u32) -> bool {
        fence > 0 && self.claim(claim_id).is_some_and(|note| note.attempt <= fence)
    }

    /// Returns the records in log order; within one append claims come before releases.
    fn steps(&self) -> Vec<Step<'_>> {
        let mut steps: Vec<(LogOffset, u8, ClaimId, Step<'_>)> = Vec::new();
        for (offset, note) in self.claims.values() {
            steps.push((*offset, 0, note.claim_id, Step::Claim(note)));
        }
        for (offset, note) in self.releases.values() {
            steps.push((*offset, 1, note.claim_id, Step::Release(note)));
        }
        steps.sort_by_key(|(offset, rank, claim_id, _)| (*offset, *rank, *claim_id));
        steps.into_iter().map(|(.., step)| step).collect()
    }
}

/// Record that affects who owns the key.
enum Step<'a> {
    Claim(&'a ClaimRecord),
    Release(&'a ReleaseRecord),
}
