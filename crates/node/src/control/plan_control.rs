//! Follows the operating plan in the log.

use std::{sync::Arc, time::Duration};

use dragonflycart_core::{LogOffset, OperatingPlan, PlanRevision, WallTime};
use dragonflycart_state::{PlanDecision, PlanLog, PlanState};
use dragonflycart_wire::{PlanCopy, PlanSnapshot};
use log::{error, info};

use crate::control::decoded_batch::DecodedBatch;

/// Reader of topic `plan` and the parsed plan in effect.
pub(crate) struct PlanControl {
    log: PlanLog,
    /// Whether the first read has shown where the log begins.
    started: bool,
    parsed: Arc<OperatingPlan>,
    parsed_revision: PlanRevision,
    retention: Duration,
}

impl PlanControl {
    /// Starts without a plan.
    pub(crate) fn new(retention: Duration) -> PlanControl {
        // Before the first read, the log counts as having lost all earlier records, so that this VM
        // decides nothing. It can still adopt a peer's copy of the plan.
        PlanControl {
            log: PlanLog::new(LogOffset(u64::MAX)),
            started: false,
            parsed: Arc::new(OperatingPlan::default()),
            parsed_revision: PlanRevision(0),
            retention,
        }
    }

    /// Applies records that were read from topic `plan`. Returns whether the plan in effect
    /// changed.
    pub(crate) fn apply(&mut self, batch: &DecodedBatch) -> bool {
        if !self.started {
            self.start(batch.first_available);
        }
        for (offset, append) in &batch.appends {
            self.log.apply_batch(*offset, append);
        }
        self.refresh()
    }

    fn start(&mut self, first_available: LogOffset) {
        let copy = self.log.copy();
        self.log = PlanLog::new(first_available);
        if copy.revision > 0 {
            self.log.adopt_copy(&copy);
        }
        self.started = true;
    }

    /// Continues at `first_available` after the log removed records that were not read.
    pub(crate) fn skip(&mut self, first_available: LogOffset) {
        if !self.started {
            self.start(first_available);
            return;
        }
        self.log.skip_removed(first_available);
    }

    /// Adopts a peer's plan if it is newer. Returns whether the plan in effect changed.
    pub(crate) fn adopt(&mut self, copy: &PlanCopy) -> bool {
        self.log.adopt_copy(copy);
        self.refresh()
    }

    fn refresh(&mut self) -> bool {
        let revision = self.log.revision();
        if revision <= self.parsed_revision {
            return false;
        }
        match serde_json::from_slice::<OperatingPlan>(self.log.active().body()) {
            Ok(plan) => self.parsed = Arc::new(plan),
            // Plans are checked before they are submitted, so this one was probably written by a
            // newer program. Keeping the last plan that could be parsed is the safest reaction.
            Err(error) => error!("plan: can't parse revision; revision={revision} error={error}"),
        }
        self.parsed_revision = revision;
        info!(
            "plan: revision took effect; revision={revision} author={}",
            self.log.active().author()
        );
        true
    }

    /// Returns the plan in effect.
    pub(crate) fn plan(&self) -> Arc<OperatingPlan> {
        Arc::clone(&self.parsed)
    }

    /// Returns the revision in effect.
    pub(crate) fn revision(&self) -> PlanRevision {
        self.parsed_revision
    }

    /// Returns the state of the log for the plan in effect.
    pub(crate) fn state(&self) -> &PlanState {
        self.log.active()
    }

    /// Returns a copy of the plan for a peer.
    pub(crate) fn copy(&self) -> PlanCopy {
        self.log.copy()
    }

    /// Returns whether this VM has read enough of the log to decide on proposals.
    pub(crate) fn is_trusted(&self) -> bool {
        self.started && self.log.is_authoritative()
    }

    /// Returns whether a proposal may be based on revision `base`.
    pub(crate) fn accepts_base(&self, base: PlanRevision) -> bool {
        self.log.accepts_base(base)
    }

    /// Returns the outcome of a submission.
    pub(crate) fn decision(&self, submit_id: &str) -> PlanDecision {
        self.log.decision(submit_id)
    }

    /// Returns a snapshot if a new one must be appended before the log removes the last one.
    pub(crate) fn due_snapshot(&self, now: WallTime) -> Option<PlanSnapshot> {
        self.log.due_snapshot(now, self.retention)
    }
}
