//! State of topic `jobs`, replayed in log order.

use std::{collections::BTreeMap, ops::Bound, time::Duration};

use dragonflycart_core::{Incarnation, LogOffset, WallTime};
use dragonflycart_wire::{JobClaim, LogEntry, RecordBatch, log_entry::Kind};

use crate::{
    CallKey, CheckpointPass, JobHistory, JobView, LedgerLimits, LogCoverage, incarnation_to_wire,
};

/// Accepted deferred generations with their attempts and results.
///
/// A job may run more than once, for example when its worker is paused and another VM takes over.
/// On every VM, its result is that of the first attempt that is complete in the log.
#[derive(Debug, Clone)]
pub struct JobLedger {
    limits: LedgerLimits,
    jobs: BTreeMap<CallKey, JobHistory>,
    coverage: LogCoverage,
}

impl JobLedger {
    /// Creates a ledger that reads from the first record that the log still has. `end` is the
    /// current end of the log.
    pub fn new(
        limits: LedgerLimits,
        first_available: LogOffset,
        end: LogOffset,
        now: WallTime,
    ) -> JobLedger {
        let coverage = LogCoverage::new(limits, first_available, end, now);
        JobLedger { limits, jobs: BTreeMap::new(), coverage }
    }

    /// Returns the offset of the next record to read.
    pub fn position(&self) -> LogOffset {
        self.coverage.position()
    }

    /// Continues at `first_available` because the log has removed the records before it.
    pub fn skip_removed(&mut self, first_available: LogOffset, now: WallTime) {
        self.coverage.skip_removed(first_available, now);
    }

    /// Applies one append. Records that were read before are ignored.
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

    /// Returns whether the ledger knows every job whose result can still be fetched.
    pub fn is_authoritative(&self, now: WallTime) -> bool {
        self.coverage.is_authoritative(now)
    }

    /// Returns the state of a job. `Unseen` proves that the job does not exist only if the ledger
    /// is authoritative.
    pub fn view(&self, key: &CallKey) -> JobView {
        self.jobs.get(key).map_or(JobView::Unseen, JobHistory::view)
    }

    /// Returns the records of a job.
    pub fn history(&self, key: &CallKey) -> Option<&JobHistory> {
        self.jobs.get(key)
    }

    /// Returns whether the key is in use for another request.
    pub fn is_reused(&self, key: &CallKey, request: &[u8]) -> bool {
        let accepted = self.jobs.get(key).and_then(JobHistory::accepted);
        accepted.is_some_and(|accepted| accepted.request != request)
    }

    /// Returns the jobs that are accepted and not done.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&CallKey, JobView)> {
        self.jobs.iter().filter_map(|(key, history)| {
            history.accepted()?;
            let view = history.view();
            (!matches!(view, JobView::Done { .. })).then_some((key, view))
        })
    }

    /// Returns the claim that `worker` appends to start another attempt, unless the job is done or
    /// unknown. The worker may start once `view` returns its claim.
    pub fn claim(&self, key: &CallKey, worker: Incarnation) -> Option<JobClaim> {
        let history = self.jobs.get(key)?;
        history.accepted()?;
        if matches!(history.view(), JobView::Done { .. }) {
            return None;
        }
        Some(JobClaim {
            team: key.team.clone(),
            key: key.key.clone(),
            worker: incarnation_to_wire(worker),
            attempt: history.next_attempt(),
            original_offset_plus_one: 0,
        })
    }

    /// Removes jobs that are older than the call window.
    pub fn expire(&mut self, now: WallTime) {
        self.jobs.retain(|_, history| now.since(history.accepted_at()) < self.limits.lifetime());
    }

    /// Returns whether the records have to be appended again.
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
        for (key, history) in self.jobs.range((start.cloned(), Bound::Unbounded)).take(count.max(1))
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
            Kind::JobAccepted(accepted) => {
                let first = LogCoverage::first_offset(offset, accepted.original_offset_plus_one);
                self.history_mut(&accepted.team, &accepted.key).add_accepted(first, accepted);
            }
            Kind::JobClaim(claim) => {
                let first = LogCoverage::first_offset(offset, claim.original_offset_plus_one);
                self.history_mut(&claim.team, &claim.key).add_claim(first, claim);
            }
            Kind::JobResult(result) => {
                let first = LogCoverage::first_offset(offset, result.original_offset_plus_one);
                self.history_mut(&result.team, &result.key).add_result(first, result);
            }
            Kind::LogCheckpoint(checkpoint) => self.coverage.apply_checkpoint(offset, checkpoint),
            _ => {}
        }
    }

    fn history_mut(&mut self, team: &str, key: &str) -> &mut JobHistory {
        self.jobs.entry(CallKey::new(team, key)).or_default()
    }
}
