//! Records of one job.

use std::collections::BTreeMap;

use dragonflycart_core::{Incarnation, LogOffset, WallTime};
use dragonflycart_wire::{JobAccepted, JobClaim, JobResult, log_entry::Kind};

use crate::{CallKey, JobView, ResultParts, incarnation_from_wire, incarnation_to_wire};

/// Maximum number of attempts kept per job; a job that needs more is failing.
const MAX_ATTEMPTS: usize = 16;

type AttemptId = (u32, Incarnation);

/// Records of one job. As in `KeyHistory`, the state depends only on the first offsets of the
/// records, so copies and duplicates may arrive in any order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobHistory {
    accepted: Option<(LogOffset, JobAccepted)>,
    /// First claim of each attempt number.
    claims: BTreeMap<u32, (LogOffset, Incarnation)>,
    results: BTreeMap<AttemptId, ResultParts>,
}

impl JobHistory {
    /// Adds the acceptance; the first one in log order counts.
    pub fn add_accepted(&mut self, offset: LogOffset, accepted: &JobAccepted) {
        if self.accepted.as_ref().is_none_or(|(known, _)| offset < *known) {
            self.accepted = Some((offset, accepted.clone()));
        }
    }

    /// Adds a claim; of several for one attempt the first one in log order counts.
    pub fn add_claim(&mut self, offset: LogOffset, claim: &JobClaim) {
        let worker = incarnation_from_wire(&claim.worker);
        let first = self.claims.entry(claim.attempt).or_insert((offset, worker));
        *first = (offset, worker).min(*first);
        if self.claims.len() > MAX_ATTEMPTS {
            self.claims.pop_first();
        }
    }

    /// Adds a part of a result. Once an attempt is complete, all others are dropped, except those
    /// whose copies may still show that they were complete earlier.
    pub fn add_result(&mut self, offset: LogOffset, result: &JobResult) {
        let attempt_id = (result.attempt, incarnation_from_wire(&result.worker));
        let parts =
            self.results.entry(attempt_id).or_insert_with(|| ResultParts::new(result.parts));
        if parts.count() != result.parts {
            return;
        }
        parts.add(result.part, offset, result.body.clone());
        self.drop_oldest();
        let Some((winner, completed_at)) = self.winner() else {
            return;
        };
        self.results.retain(|id, parts| *id == winner || may_precede(parts, completed_at));
    }

    /// Drops the oldest incomplete attempt if there are too many.
    fn drop_oldest(&mut self) {
        if self.results.len() <= MAX_ATTEMPTS {
            return;
        }
        let oldest = self.results.iter().find(|(_, parts)| parts.completed_at().is_none());
        if let Some(attempt_id) = oldest.map(|(attempt_id, _)| *attempt_id) {
            self.results.remove(&attempt_id);
        }
    }

    /// Returns the acceptance record, which holds the request.
    pub fn accepted(&self) -> Option<&JobAccepted> {
        self.accepted.as_ref().map(|(_, accepted)| accepted)
    }

    /// Returns the state of the job.
    pub fn view(&self) -> JobView {
        if let Some((winner, _)) = self.winner() {
            let body = self.results.get(&winner).map(ResultParts::body).unwrap_or_default();
            return JobView::Done { attempt: winner.0, body };
        }
        if let Some((attempt, (_, worker))) = self.claims.last_key_value() {
            return JobView::Claimed { attempt: *attempt, worker: *worker };
        }
        if self.accepted.is_some() { JobView::Waiting } else { JobView::Unseen }
    }

    /// Returns the number of the next attempt.
    pub fn next_attempt(&self) -> u32 {
        let claimed = self.claims.keys().next_back().copied().unwrap_or(0);
        let written = self.results.keys().map(|(attempt, _)| *attempt).max().unwrap_or(0);
        claimed.max(written) + 1
    }

    /// Returns when the job was accepted.
    pub fn accepted_at(&self) -> WallTime {
        let millis = self.accepted().map_or(0, |accepted| accepted.accepted_at_ms);
        WallTime::from_unix_millis(millis)
    }

    /// Returns all records as copies.
    pub fn copies(&self, key: &CallKey) -> Vec<Kind> {
        let mut kinds = Vec::new();
        if let Some((offset, accepted)) = &self.accepted {
            let mut copy = accepted.clone();
            copy.original_offset_plus_one = offset.next().0;
            kinds.push(Kind::JobAccepted(copy));
        }
        for (attempt, (offset, worker)) in &self.claims {
            kinds.push(Kind::JobClaim(JobClaim {
                team: key.team.clone(),
                key: key.key.clone(),
                worker: incarnation_to_wire(*worker),
                attempt: *attempt,
                original_offset_plus_one: offset.next().0,
            }));
        }
        for ((attempt, worker), parts) in &self.results {
            for (part, offset, body) in parts.parts() {
                kinds.push(Kind::JobResult(JobResult {
                    team: key.team.clone(),
                    key: key.key.clone(),
                    attempt: *attempt,
                    worker: incarnation_to_wire(*worker),
                    part,
                    parts: parts.count(),
                    body: body.clone(),
                    original_offset_plus_one: offset.next().0,
                }));
            }
        }
        kinds
    }

    /// Returns the attempt that was complete first in log order.
    fn winner(&self) -> Option<(AttemptId, LogOffset)> {
        let mut first: Option<(LogOffset, AttemptId)> = None;
        for (attempt_id, parts) in &self.results {
            let Some(completed_at) = parts.completed_at() else {
                continue;
            };
            let candidate = (completed_at, *attempt_id);
            first = Some(first.map_or(candidate, |known| known.min(candidate)));
        }
        first.map(|(completed_at, attempt_id)| (attempt_id, completed_at))
    }
}

/// Returns whether an incomplete attempt may still turn out to have been complete before the
/// winner, because all of its known parts are older.
fn may_precede(parts: &ResultParts, completed_at: LogOffset) -> bool {
    parts.completed_at().is_none() && parts.parts().all(|(_, offset, _)| offset < completed_at)
}
