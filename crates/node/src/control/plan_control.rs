//! The plan in effect on this VM.

use std::{sync::Arc, time::Duration};

use dragonflycart_core::{LogOffset, OperatingPlan, PlanRevision, WallTime};
use dragonflycart_state::{PlanDecision, PlanLog, PlanState};
use dragonflycart_wire::{PlanCopy, PlanSnapshot};
use log::{error, info};

use crate::control::decoded_batch::DecodedBatch;

/// Reader of topic `plan` and the parsed plan in effect.
pub(crate) struct PlanControl {
    log: PlanLog,
    /// Whether the first read told where the log begins.
    started: bool,
    parsed: Arc<OperatingPlan>,
    parsed_revision: PlanRevision,
    retention: Duration,
}

impl PlanControl {
    /// Starts without a plan.
    pub(crate) fn new(retention: Duration) -> PlanControl {
        // Until the first read, records below any offset count as missing, so that nothing is
        // decided; a peer's copy is adopted all the same.
        PlanControl {
            log: PlanLog::new(LogOffset(u64::MAX)),
            started: false,
            parsed: Arc::new(OperatingPlan::default()),
            parsed_revision: PlanRevision(0),
            retention,
        }
    }

    /// Applies what was read from the log. Returns whether the plan in effect changed.
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

    /// Goes on at `first_available` after records were removed unread.
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
            // Plans are checked before they are submitted. Keeping the last readable one is the
            // safest reaction to a record that a newer program wrote.
            Err(error) => error!("plan: revision can't be read; revision={revision} error={error}"),
        }
        self.parsed_revision = revision;
        info!(
            "plan: revision is in effect; revision={revision} author={}",
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

    /// Returns the state behind the plan in effect.
    pub(crate) fn state(&self) -> &PlanState {
        self.log.active()
    }

    /// Returns the plan as a message for a peer.
    pub(crate) fn copy(&self) -> PlanCopy {
        self.log.copy()
    }

    /// Returns whether this VM can decide on proposals.
    pub(crate) fn is_trusted(&self) -> bool {
        self.started && self.log.is_authoritative()
    }

    /// Returns whether a proposal may build on `base`.
    pub(crate) fn accepts_base(&self, base: PlanRevision) -> bool {
        self.log.accepts_base(base)
    }

    /// Returns the decision about a submission.
    pub(crate) fn decision(&self, submit_id: &str) -> PlanDecision {
        self.log.decision(submit_id)
    }

    /// Returns a snapshot if one must be appended before the log removes the last one.
    pub(crate) fn due_snapshot(&self, now: WallTime) -> Option<PlanSnapshot> {
        self.log.due_snapshot(now, self.retention)
    }
}
