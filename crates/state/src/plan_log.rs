//! Topic `plan`, folded in log order.
//!
//! A reader that missed records can't tell whether a proposal's base was in force, so it decides
//! nothing until it has a base that covers everything below its first record.

use std::{collections::VecDeque, time::Duration};

use dragonflycart_core::{LogOffset, PlanRevision, WallTime};
use dragonflycart_wire::{PlanCopy, PlanProposal, PlanSnapshot, RecordBatch, log_entry::Kind};

use crate::{PlanDecision, PlanState};

/// Proposals that are buffered while the base is missing. A plan is about 40 KB, so that this is
/// at most 10 MB; when there are more, a later base is needed.
const BUFFERED_PROPOSALS: usize = 256;

/// Plan in force on one VM and its reader of topic `plan`.
#[derive(Debug, Clone, Default)]
pub struct PlanLog {
    /// Result of the fold, missing while the base is missing.
    folded: Option<PlanState>,
    /// Offset up to which `folded` includes all records.
    folded_to: LogOffset,
    /// Offset of the base; proposals before it are part of the base.
    fold_from: LogOffset,
    /// Plan in force, never replaced by a lower revision.
    active: PlanState,
    /// Offset up to which `active` includes all records.
    active_to: LogOffset,
    /// Start of the unbroken series of records read.
    read_from: LogOffset,
    /// Offset of the next record to read.
    position: LogOffset,
    buffered: VecDeque<(LogOffset, PlanProposal)>,
    snapshot_made_at: Option<WallTime>,
}

impl PlanLog {
    /// Starts to read at the first record that the log still has. Offset zero means that no
    /// record was ever removed.
    pub fn new(first_available: LogOffset) -> PlanLog {
        let folded = (first_available == LogOffset(0)).then(PlanState::default);
        PlanLog {
            folded,
            folded_to: first_available,
            read_from: first_available,
            position: first_available,
            ..PlanLog::default()
        }
    }

    /// Returns the offset of the next record to read.
    pub fn position(&self) -> LogOffset {
        self.position
    }

    /// Continues at `first_available` because the log has removed the records before it. The plan
    /// in force stays; decisions wait for a base if records were missed.
    pub fn skip_removed(&mut self, first_available: LogOffset) {
        if first_available <= self.position {
            return;
        }
        self.position = first_available;
        self.read_from = first_available;
        self.buffered.clear();
        if self.folded_to < first_available {
            self.folded = None;
        }
        self.rebase(self.active.clone(), self.active_to);
    }

    /// Applies one append. Records that were read before are ignored; a gap counts as removed
    /// records. An append that can't be decoded is passed as an empty batch.
    pub fn apply_batch(&mut self, offset: LogOffset, batch: &RecordBatch) {
        if offset < self.position {
            return;
        }
        self.skip_removed(offset);
        self.position = offset.next();
        for entry in &batch.entries {
            match &entry.kind {
                Some(Kind::PlanProposal(proposal)) => self.apply_proposal(offset, proposal),
                Some(Kind::PlanSnapshot(snapshot)) => self.apply_snapshot(offset, snapshot),
                _ => continue,
            }
        }
        self.close_offset(offset);
    }

    /// Takes the plan of a peer into force if its revision is higher, and uses it as the base if
    /// that is missing. Returns whether the plan in force changed.
    pub fn adopt_copy(&mut self, copy: &PlanCopy) -> bool {
        let before = self.active.revision();
        let state = PlanState::from_copy(copy);
        let as_of = LogOffset(copy.as_of_offset);
        self.raise_active(&state, as_of);
        self.rebase(state, as_of);
        self.active.revision() > before
    }

    /// Returns the plan in force.
    pub fn active(&self) -> &PlanState {
        &self.active
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> PlanRevision {
        self.active.revision()
    }

    /// Returns whether this reader can decide on proposals.
    pub fn is_authoritative(&self) -> bool {
        self.folded.is_some()
    }

    /// Returns the plan in force as a message for a peer.
    pub fn copy(&self) -> PlanCopy {
        self.active.to_copy(self.active_to)
    }

    /// Returns the decision about a submission as far as it is known here.
    pub fn decision(&self, submit_id: &str) -> PlanDecision {
        let folded = self.folded.as_ref().map(|state| state.decision(submit_id));
        match folded {
            Some(decision) if decision != PlanDecision::NotKnown => decision,
            _ => self.active.decision(submit_id),
        }
    }

    /// Returns the verdict on a submission that need not be appended: it is known already, or its
    /// base is no longer in force.
    pub fn prejudge(&self, submit_id: &str, base: PlanRevision) -> PlanDecision {
        let known = self.decision(submit_id);
        if known != PlanDecision::NotKnown || base >= self.revision() {
            return known;
        }
        let winner = self.active.author().to_owned();
        PlanDecision::Rejected { winner, revision: self.revision() }
    }

    /// Returns whether a proposal with this base may be appended. A base that was never in force
    /// here is refused, because the decision on it would depend on where a reader started.
    pub fn accepts_base(&self, base: PlanRevision) -> bool {
        base <= self.active.revision()
    }

    /// Returns a snapshot if one has to be appended: the latest one was made more than half the
    /// retention time ago. The age is that of its content, since an append can land late.
    pub fn due_snapshot(&self, now: WallTime, retention: Duration) -> Option<PlanSnapshot> {
        let state = self.folded.as_ref()?;
        if state.revision() == PlanRevision(0) {
            return None;
        }
        if self.snapshot_made_at.is_some_and(|made_at| now.since(made_at) < retention / 2) {
            return None;
        }
        Some(state.to_snapshot(self.folded_to, now))
    }

    fn apply_proposal(&mut self, offset: LogOffset, proposal: &PlanProposal) {
        if let Some(state) = &mut self.folded {
            if offset >= self.fold_from {
                state.decide(proposal);
            }
            return;
        }
        self.buffered.push_back((offset, proposal.clone()));
        if self.buffered.len() <= BUFFERED_PROPOSALS {
            return;
        }
        let Some((dropped, _)) = self.buffered.pop_front() else {
            return;
        };
        self.read_from = dropped.next();
    }

    fn apply_snapshot(&mut self, offset: LogOffset, snapshot: &PlanSnapshot) {
        let as_of = LogOffset(snapshot.as_of_offset);
        if as_of > offset {
            return;
        }
        let made_at = WallTime::from_unix_millis(snapshot.made_at_ms);
        self.snapshot_made_at = self.snapshot_made_at.max(Some(made_at));
        let state = PlanState::from_snapshot(snapshot);
        self.raise_active(&state, as_of);
        self.rebase(state, as_of);
    }

    /// Ends the append at `offset`: the fold includes it from now on.
    fn close_offset(&mut self, offset: LogOffset) {
        let Some(state) = self.folded.clone() else {
            return;
        };
        self.folded_to = self.folded_to.max(offset.next());
        self.raise_active(&state, self.folded_to);
    }

    /// Starts the fold from `state` if the base is missing and no record between `as_of` and the
    /// first record read is missing.
    fn rebase(&mut self, mut state: PlanState, as_of: LogOffset) {
        if self.folded.is_some() || as_of < self.read_from {
            return;
        }
        for (offset, proposal) in self.buffered.drain(..) {
            if offset >= as_of {
                state.decide(&proposal);
            }
        }
        self.fold_from = as_of;
        self.folded_to = as_of.max(self.position);
        self.raise_active(&state, self.folded_to);
        self.folded = Some(state);
    }

    /// Puts `state` into force unless a higher revision is. The same revision of a later offset
    /// only extends what the plan in force includes.
    fn raise_active(&mut self, state: &PlanState, as_of: LogOffset) {
        let newer = (state.revision(), as_of) > (self.active.revision(), self.active_to);
        if newer {
            self.active = state.clone();
            self.active_to = as_of;
        }
    }
}
