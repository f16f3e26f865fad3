//! State of topic `calls`, replayed in log order.
//!
//! A call runs at most once because all VMs agree on the owner of its key. They agree only if none
//! of them has missed a claim. A ledger that started after records were removed therefore decides
//! nothing until it has read a complete series of copies that starts at or after its first record
//! (see [`CheckpointPass`]).

use std::{collections::BTreeMap, ops::Bound, time::Duration};

use dragonflycart_core::{LogOffset, WallTime};
use dragonflycart_wire::{LogEntry, RecordBatch, log_entry::Kind};

use crate::{
    CallKey, CallView, CheckpointPass, ClaimId, ClaimRecord, KeyHistory, LedgerLimits, LogCoverage,
    OutcomeRecord, ReleaseRecord,
};

/// Claims, releases and outcomes of calls within the call window.
#[derive(Debug, Clone)]
pub struct CallLedger {
    limits: LedgerLimits,
    keys: BTreeMap<CallKey, KeyHistory>,
    coverage: LogCoverage,
}

impl CallLedger {
    /// Creates a ledger that reads from the first record that the log still has. `end` is the
    /// current end of the log.
    pub fn new(
        limits: LedgerLimits,
        first_available: LogOffset,
        end: LogOffset,
        now: WallTime,
    ) -> CallLedger {
        let coverage = LogCoverage::new(limits, first_available, end, now);
        CallLedger { limits, keys: BTreeMap::new(), coverage }
    }

    /// Returns the offset of the next record to read.
    pub fn position(&self) -> LogOffset {
        self.coverage.position()
    }

    /// Returns the number of keys that are known.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Continues at `first_available` because the log has removed the records before it. If
    /// records were missed, the ledger decides nothing until the next checkpoint.
    pub fn skip_removed(&mut self, first_available: LogOffset, now: WallTime) {
        self.coverage.skip_removed(first_available, now);
    }

    /// Applies one append. Records that were read before are ignored; a gap counts as removed
    /// records. An append that can't be decoded is passed as an empty batch.
    pub fn apply_batch(&mut self, offset: LogOffset, batch: &RecordBatch, now: WallTime) {
        if !self.coverage.advance(offset, now) {
            return;
        }
        for entry in &batch.entries {
            let Some(kind) = &entry.kind else {
                continue;
            };
            self.apply_record(offset, kind);
        }
    }

    /// Returns whether the ledger knows every key of the call window and has read at least what
    /// was in the log when it started. Only then may it decide that a key has no owner.
    pub fn is_authoritative(&self, now: WallTime) -> bool {
        self.coverage.is_authoritative(now)
    }

    /// Returns what is known about a key.
    pub fn view(&self, key: &CallKey) -> CallView {
        let Some(history) = self.keys.get(key) else {
            return CallView::Unseen;
        };
        if let Some(outcome) = history.outcome().filter(|outcome| outcome.is_known()) {
            return CallView::Settled(outcome.clone());
        }
        match history.owner() {
            Some(claim) => CallView::Owned(claim.clone()),
            None => CallView::Free,
        }
    }

    /// Returns the records of a key.
    pub fn history(&self, key: &CallKey) -> Option<&KeyHistory> {
        self.keys.get(key)
    }

    /// Returns whether the key is in use for a request with another digest.
    pub fn is_reused(&self, key: &CallKey, digest: &[u8]) -> bool {
        let Some(history) = self.keys.get(key) else {
            return false;
        };
        let claim = match history.outcome() {
            Some(outcome) => history.claim(outcome.claim_id),
            None => history.owner(),
        };
        claim.is_some_and(|claim| claim.request_digest != digest)
    }

    /// Returns the known outcome of a request. An outcome whose claim is not known is withheld: a
    /// reader that started after records were removed can't tell which request it belongs to.
    pub fn outcome_of(&self, key: &CallKey, digest: &[u8]) -> Option<&OutcomeRecord> {
        let history = self.keys.get(key)?;
        let outcome = history.outcome().filter(|outcome| outcome.is_known())?;
        let claim = history.claim(outcome.claim_id)?;
        (claim.request_digest == digest).then_some(outcome)
    }

    /// Returns whether a release of the claim was read.
    pub fn is_released(&self, key: &CallKey, claim_id: ClaimId) -> bool {
        self.keys.get(key).is_some_and(|history| history.is_released(claim_id))
    }

    /// Returns whether no claim of attempt `attempt` or an earlier one ran or can still run: no
    /// claim is open, and a release voids those that are appended later.
    pub fn excludes_attempt(&self, key: &CallKey, attempt: u32, now: WallTime) -> bool {
        if attempt == 0 || !self.is_authoritative(now) {
            return false;
        }
        let Some(history) = self.keys.get(key) else {
            return false;
        };
        history.voided_through() >= attempt
            && history.open_claims().is_empty()
            && history.outcome().is_none()
    }

    /// Returns whether a claim is within the call window, so that other VMs still know it and it
    /// may run.
    pub fn is_within_window(&self, made_at: WallTime, now: WallTime) -> bool {
        now.since(made_at) < self.limits.call_window
    }

    /// Removes keys that are older than the call window.
    pub fn expire(&mut self, now: WallTime) {
        self.keys.retain(|_, history| now.since(history.latest()) < self.limits.lifetime());
    }

    /// Returns whether the records have to be appended again: half the retention time has passed
    /// since the last checkpoint was made. `stagger` differs between VMs, so that usually only one
    /// of them appends; several checkpoints do no harm.
    pub fn checkpoint_due(&self, now: WallTime, stagger: Duration) -> bool {
        self.coverage.checkpoint_due(now, stagger)
    }

    /// Starts a series of copies, unless this ledger may have missed records.
    pub fn begin_checkpoint(&self, now: WallTime) -> Option<CheckpointPass> {
        let pass = CheckpointPass::new(self.coverage.checkpoint(now));
        self.is_authoritative(now).then_some(pass)
    }

    /// Returns the copies of the next `count` keys, or the checkpoint after the last one. One
    /// writer must append all entries in this order, in one or more appends.
    pub fn next_copies(&self, pass: &mut CheckpointPass, count: usize) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        if pass.is_done() {
            return entries;
        }
        let start = pass.copied_to().map_or(Bound::Unbounded, Bound::Excluded);
        for (key, history) in self.keys.range((start.cloned(), Bound::Unbounded)).take(count.max(1))
        {
            for kind in history.copies(key) {
                entries.push(LogEntry { kind: Some(kind) });
            }
            pass.advance(key);
        }
        if entries.is_empty() {
            entries.push(pass.finish());
        }
        entries
    }

    /// Returns a whole series of copies at once, for a small ledger. It is empty if this ledger may
    /// have missed records. If any entry is not appended, the last one must not be appended either.
    pub fn checkpoint(&self, now: WallTime) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        let Some(mut pass) = self.begin_checkpoint(now) else {
            return entries;
        };
        while !pass.is_done() {
            entries.extend(self.next_copies(&mut pass, 1));
        }
        entries
    }

    fn apply_record(&mut self, offset: LogOffset, kind: &Kind) {
        match kind {
            Kind::CallClaim(claim) => {
                let first = LogCoverage::first_offset(offset, claim.original_offset_plus_one);
                let record = ClaimRecord::from_wire(claim);
                self.history_mut(&claim.team, &claim.key).add_claim(first, record);
            }
            Kind::CallRelease(release) => {
                let first = LogCoverage::first_offset(offset, release.original_offset_plus_one);
                let record = ReleaseRecord::from_wire(release);
                self.history_mut(&release.team, &release.key).add_release(first, record);
            }
            Kind::CallOutcome(outcome) => {
                let record = OutcomeRecord::from_wire(outcome);
                self.history_mut(&outcome.team, &outcome.key).add_outcome(record);
            }
            Kind::LogCheckpoint(checkpoint) => self.coverage.apply_checkpoint(offset, checkpoint),
            _ => {}
        }
    }

    fn history_mut(&mut self, team: &str, key: &str) -> &mut KeyHistory {
        self.keys.entry(CallKey::new(team, key)).or_default()
    }
}
