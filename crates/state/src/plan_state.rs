//! Plan in effect, as determined by the records of topic `plan`.

use std::collections::VecDeque;

use bytes::Bytes;
use dragonflycart_core::{LogOffset, PlanRevision, WallTime};
use dragonflycart_wire::{PlanCopy, PlanProposal, PlanSnapshot, ProposalDecision};

use crate::PlanDecision;

/// Maximum number of decisions kept. At 520 changes a day, 64 decisions cover about three hours,
/// longer than the operator's tool repeats a submission.
const MAX_DECISIONS: usize = 64;

/// Plan in effect and the latest decisions, after all records before some offset.
///
/// The state depends on the log alone, so that all readers reach the same decisions. Snapshots and
/// messages to peers include all of it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PlanState {
    revision: PlanRevision,
    author: String,
    submit_id: String,
    body: Bytes,
    submitted_at: WallTime,
    decisions: VecDeque<ProposalDecision>,
}

impl PlanState {
    /// Decodes the state of a snapshot.
    pub fn from_snapshot(snapshot: &PlanSnapshot) -> PlanState {
        PlanState {
            revision: PlanRevision(snapshot.revision),
            author: snapshot.author.clone(),
            submit_id: snapshot.submit_id.clone(),
            body: snapshot.body.clone(),
            submitted_at: WallTime::from_unix_millis(snapshot.submitted_at_ms),
            decisions: snapshot.decisions.iter().cloned().collect(),
        }
    }

    /// Decodes the state of a message from a peer.
    pub fn from_copy(copy: &PlanCopy) -> PlanState {
        PlanState {
            revision: PlanRevision(copy.revision),
            author: copy.author.clone(),
            submit_id: copy.submit_id.clone(),
            body: copy.body.clone(),
            submitted_at: WallTime::from_unix_millis(copy.submitted_at_ms),
            decisions: copy.decisions.iter().cloned().collect(),
        }
    }

    /// Returns the state as a log record.
    pub fn to_snapshot(&self, as_of: LogOffset, made_at: WallTime) -> PlanSnapshot {
        PlanSnapshot {
            revision: self.revision.0,
            as_of_offset: as_of.0,
            body: self.body.clone(),
            author: self.author.clone(),
            submit_id: self.submit_id.clone(),
            decisions: self.decisions.iter().cloned().collect(),
            made_at_ms: made_at.as_unix_millis(),
            submitted_at_ms: self.submitted_at.as_unix_millis(),
        }
    }

    /// Returns the state as a message for a peer.
    pub fn to_copy(&self, as_of: LogOffset) -> PlanCopy {
        PlanCopy {
            revision: self.revision.0,
            body: self.body.clone(),
            author: self.author.clone(),
            submit_id: self.submit_id.clone(),
            as_of_offset: as_of.0,
            decisions: self.decisions.iter().cloned().collect(),
            submitted_at_ms: self.submitted_at.as_unix_millis(),
        }
    }

    /// Returns the revision in effect; zero if no plan was accepted yet.
    pub fn revision(&self) -> PlanRevision {
        self.revision
    }

    /// Returns the operator who submitted the plan in effect.
    pub fn author(&self) -> &str {
        &self.author
    }

    /// Returns the plan as JSON.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Returns when the plan in effect was submitted.
    pub fn submitted_at(&self) -> WallTime {
        self.submitted_at
    }

    /// Returns the decision about a submission, or `NotKnown` if it is not among the latest ones.
    pub fn decision(&self, submit_id: &str) -> PlanDecision {
        let Some(decision) = self.decisions.iter().find(|found| found.submit_id == submit_id)
        else {
            return PlanDecision::NotKnown;
        };
        let revision = PlanRevision(decision.revision);
        if decision.accepted {
            return PlanDecision::Accepted { revision };
        }
        PlanDecision::Rejected { winner: decision.author.clone(), revision }
    }

    /// Decides on a proposal. It is accepted if its base is the revision in effect. A submission
    /// that was decided before keeps its decision.
    pub fn decide(&mut self, proposal: &PlanProposal) {
        if self.decision(&proposal.submit_id) != PlanDecision::NotKnown {
            return;
        }
        if self.is_forgotten(proposal.base_revision) {
            return;
        }
        let accepted = proposal.base_revision == self.revision.0;
        if accepted {
            self.revision = self.revision.next();
            self.author = proposal.author.clone();
            self.submit_id = proposal.submit_id.clone();
            self.body = proposal.body.clone();
            self.submitted_at = WallTime::from_unix_millis(proposal.submitted_at_ms);
        }
        let (author, revision) = self.winner_on(proposal.base_revision);
        let decision =
            ProposalDecision { submit_id: proposal.submit_id.clone(), accepted, author, revision };
        self.decisions.push_back(decision);
        while self.decisions.len() > MAX_DECISIONS {
            self.decisions.pop_front();
        }
    }

    /// Returns whether the decision that followed `base` is no longer kept. A proposal with such a
    /// base may be a late copy of an accepted one, so no decision is made about it.
    fn is_forgotten(&self, base: u64) -> bool {
        let accepted = self.decisions.iter().filter(|decision| decision.accepted);
        let oldest = accepted.map(|decision| decision.revision).min().unwrap_or(self.revision.0);
        self.decisions.len() == MAX_DECISIONS && base < self.revision.0 && base + 1 < oldest
    }

    /// Returns the author and revision of the proposal accepted on `base`, or those of the plan in
    /// effect if that decision is no longer kept.
    fn winner_on(&self, base: u64) -> (String, u64) {
        for decision in &self.decisions {
            if decision.accepted && decision.revision == base + 1 {
                return (decision.author.clone(), decision.revision);
            }
        }
        (self.author.clone(), self.revision.0)
    }
}
