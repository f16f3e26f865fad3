//! State of topic `plan`, replayed in log order.
//!
//! A reader that has missed records can't tell whether the base revision of a proposal was in
//! effect. It therefore decides nothing until it has a base state, a snapshot or the plan of a peer,
//! that includes all records before its first one.

use std::{collections::VecDeque, time::Duration};

use dragonflycart_core::{LogOffset, PlanRevision, WallTime};
use dragonflycart_wire::{PlanCopy, PlanProposal, PlanSnapshot, RecordBatch, log_entry::Kind};

use crate::{PlanDecision, PlanState};

/// Maximum number of proposals buffered while the base state is missing. A plan is about 40 KB, so
/// they take at most 10 MB. When the oldest is dropped, a later base state is needed.
const MAX_BUFFERED_PROPOSALS: usize = 256;

/// Plan in effect on one VM, and the state of its reader of topic `plan`.
#[derive(Debug, Clone, Default)]
pub struct PlanLog {
    /// State after the records replayed so far; `None` while the base state is missing.
    replayed: Option<PlanState>,
    /// Offset up to which `replayed` includes all records.
    replayed_to: LogOffset,
    /// Offset of the base state, which includes all proposals before it.
    replay_from: LogOffset,
    /// Plan in effect. It is never replaced by one with a lower revision.
    active: PlanState,
    /// Offset up to which `active` includes all records.
    active_to: LogOffset,
    /// Start of the records that were read without a gap.
    read_from: LogOffset,
    /// Offset of the next record to read.
    position: LogOffset,
    buffered: VecDeque<(LogOffset, PlanProposal)>,
    snapshot_made_at: Option<WallTime>,
}

impl PlanLog {
    /// Starts at the first record that the log still has. Offset zero means that no record was ever
    /// removed.
    pub fn new(first_available: LogOffset) -> PlanLog {
        let replayed = (first_available == LogOffset(0)).then(PlanState::default);
        PlanLog {
            replayed,
            replayed_to: first_available,
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
    /// in effect stays. If records were missed, decisions wait for a base state.
    pub fn skip_removed(&mut self, first_available: LogOffset) {
        if first_available <= self.position {
            return;
        }
        self.position = first_available;
        self.read_from = first_available;
        self.buffered.clear();
        if self.replayed_to < first_available {
            self.replayed = None;
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
        self.finish_append(offset);
    }

    /// Puts the plan of a peer into effect if its revision is higher, and uses it as the base state
    /// if that is missing. Returns whether the plan in effect changed.
    pub fn adopt_copy(&mut self, copy: &PlanCopy) -> bool {
        let before = self.active.revision();
        let state = PlanState::from_copy(copy);
        let as_of = LogOffset(copy.as_of_offset);
        self.update_active(&state, as_of);
        self.rebase(state, as_of);
        self.active.revision() > before
    }

    /// Returns the plan in effect.
    pub fn active(&self) -> &PlanState {
        &self.active
    }

    /// Returns the revision in effect.
    pub fn revision(&self) -> PlanRevision {
        self.active.revision()
    }

    /// Returns whether this reader can decide on proposals.
    pub fn is_authoritative(&self) -> bool {
        self.replayed.is_some()
    }

    /// Returns the plan in effect as a message for a peer.
    pub fn copy(&self) -> PlanCopy {
        self.active.to_copy(self.active_to)
    }

    /// Returns the decision about a submission as far as it is known here.
    pub fn decision(&self, submit_id: &str) -> PlanDecision {
        let replayed = self.replayed.as_ref().map(|state| state.decision(submit_id));
        match replayed {
            Some(decision) if decision != PlanDecision::NotKnown => decision,
            _ => self.active.decision(submit_id),
        }
    }

    /// Returns the decision about a submission that need not be appended, because the decision is
    /// known already or its base revision is no longer in effect. Otherwise returns `NotKnown`.
    pub fn precheck(&self, submit_id: &str, base: PlanRevision) -> PlanDecision {
        let known = self.decision(submit_id);
        if known != PlanDecision::NotKnown || base >= self.revision() {
            return known;
        }
        let winner = self.active.author().to_owned();
        PlanDecision::Rejected { winner, revision: self.revision() }
    }

    /// Returns whether a proposal with this base revision may be appended. A base revision above
    /// the one in effect here is refused, because the decision would depend on where a reader
    /// started.
    pub fn accepts_base(&self, base: PlanRevision) -> bool {
        base <= self.active.revision()
    }

    /// Returns a snapshot if one has to be appended: the latest one was made at least half the
    /// retention time ago. The age counts from when its content was made, since an append can reach
    /// the log late.
    pub fn due_snapshot(&self, now: WallTime, retention: Duration) -> Option<PlanSnapshot> {
        let state = self.replayed.as_ref()?;
        if state.revision() == PlanRevision(0) {
            return None;
        }
        if self.snapshot_made_at.is_some_and(|made_at| now.since(made_at) < retention / 2) {
            return None;
        }
        Some(state.to_snapshot(self.replayed_to, now))
    }

    fn apply_proposal(&mut self, offset: LogOffset, proposal: &PlanProposal) {
        if let Some(state) = &mut self.replayed {
            if offset >= self.replay_from {
                state.decide(proposal);
            }
            return;
        }
        self.buffered.push_back((offset, proposal.clone()));
        if self.buffered.len() <= MAX_BUFFERED_PROPOSALS {
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
        self.update_active(&state, as_of);
        self.rebase(state, as_of);
    }

    /// Ends the append at `offset`, which is now part of the replayed state.
    fn finish_append(&mut self, offset: LogOffset) {
        let Some(state) = self.replayed.clone() else {
            return;
        };
        self.replayed_to = self.replayed_to.max(offset.next());
        self.update_active(&state, self.replayed_to);
    }

    /// Uses `state` as the base state if that is missing and no record between `as_of` and the
    /// first record read was missed.
    fn rebase(&mut self, mut state: PlanState, as_of: LogOffset) {
        if self.replayed.is_some() || as_of < self.read_from {
            return;
        }
        for (offset, proposal) in self.buffered.drain(..) {
            if offset >= as_of {
                state.decide(&proposal);
            }
        }
        self.replay_from = as_of;
        self.replayed_to = as_of.max(self.position);
        self.update_active(&state, self.replayed_to);
        self.replayed = Some(state);
    }

    /// Puts `state` into effect unless a higher revision is in effect. The same revision at a later
    /// offset only moves `active_to` forward and takes over later decisions.
    fn update_active(&mut self, state: &PlanState, as_of: LogOffset) {
        let newer = (state.revision(), as_of) > (self.active.revision(), self.active_to);
        if newer {
            self.active = state.clone();
            self.active_to = as_of;
        }
    }
}
