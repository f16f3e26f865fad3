//! Claims, permits and outcomes of calls that are not idempotent.
//!
//! A call is sent only by the VM whose claim is the first in the log, and that VM issues one permit
//! to send it. The design page explains at-most-once execution.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use dragonflycart_core::{ErrorKind, Incarnation, MonoTime, RunState, ServiceError, WallTime};
use dragonflycart_interfaces::LogTopic;
use dragonflycart_state::{
    AttemptResponse, CallAttempt, CallLedger, CallView, ClaimId, ClaimRecord, DispatchPermit,
    LedgerLimits, PendingReleases,
};
use dragonflycart_wire::log_entry::Kind;
use log::{info, warn};
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::{
    call::{CallMessage, ClaimDecision, ClaimRequest, WaitingClaim},
    control::{append_control::AppendControl, decoded_batch::DecodedBatch},
};

/// Time without the log service after which a new call is refused without waiting for its
/// deadline.
const LOG_OUTAGE_LIMIT: Duration = Duration::from_secs(1);
/// Time after which a call that another claim owns is looked up at the service itself.
const OWNER_WAIT_LIMIT: Duration = Duration::from_millis(500);
/// Interval at which releases that have not appeared in the log are appended again.
const RELEASE_PERIOD: Duration = Duration::from_secs(5);
/// Interval between two attempts to append a checkpoint.
const CHECKPOINT_PERIOD: Duration = Duration::from_secs(60);
/// Time past the deadline for which an attempt waits for its release to appear in the log.
const RELEASE_GRACE: Duration = Duration::from_secs(1);

/// Current times and the reachability of the log, passed to each step of the control loop.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepContext {
    /// Monotonic time.
    pub(crate) now: MonoTime,
    /// Wall-clock time.
    pub(crate) wall: WallTime,
    /// Time since which the log service has been unreachable.
    pub(crate) log_lost_at: Option<MonoTime>,
}

/// An attempt of this VM to claim and send a call.
struct AttemptEntry {
    attempt: CallAttempt,
    digest: Bytes,
    waiter: Option<oneshot::Sender<ClaimDecision>>,
    begun_at: MonoTime,
    deadline: MonoTime,
    /// Why the claim was given up. Reported to the caller once it is certain that the call did
    /// not run.
    reason: ErrorKind,
    owner_told: bool,
}

/// The ledger of calls and the attempts of this VM.
pub(crate) struct CallControl {
    own: Incarnation,
    limits: LedgerLimits,
    ledger: Option<CallLedger>,
    attempts: BTreeMap<ClaimId, AttemptEntry>,
    pending_releases: PendingReleases,
    released_at: MonoTime,
    checkpoint_at: Option<MonoTime>,
}

impl CallControl {
    /// Creates the state without any records.
    pub(crate) fn new(own: Incarnation, limits: LedgerLimits) -> CallControl {
        CallControl {
            own,
            limits,
            ledger: None,
            attempts: BTreeMap::new(),
            pending_releases: PendingReleases::default(),
            released_at: MonoTime::default(),
            checkpoint_at: None,
        }
    }

    /// Applies records that were read from topic `calls`.
    pub(crate) fn apply(&mut self, batch: &DecodedBatch, wall: WallTime) {
        let limits = self.limits;
        let ledger = self
            .ledger
            .get_or_insert_with(|| CallLedger::new(limits, batch.first_available, batch.end, wall));
        for (offset, append) in &batch.appends {
            ledger.apply_batch(*offset, append, wall);
        }
    }

    /// Continues at `first_available` after the log removed records that were not read.
    pub(crate) fn skip(&mut self, first_available: dragonflycart_core::LogOffset, wall: WallTime) {
        if let Some(ledger) = &mut self.ledger {
            ledger.skip_removed(first_available, wall);
        }
    }

    /// Handles one message.
    pub(crate) fn handle(
        &mut self,
        message: CallMessage,
        appends: &mut AppendControl,
        step: StepContext,
    ) {
        match message {
            CallMessage::Claim(request, waiter) => self.claim(request, waiter, appends, step),
            CallMessage::Await(claim_id, waiter) => {
                if let Some(entry) = self.attempts.get_mut(&claim_id) {
                    entry.waiter = Some(waiter);
                }
            }
            CallMessage::TakePermit(claim_id, reply) => {
                let permit = self.take_permit(claim_id, step);
                if let Err(Some(permit)) = reply.send(permit) {
                    // The runner has ended, so nothing was sent.
                    self.return_permit(permit);
                }
            }
            CallMessage::ReturnPermit(permit) => self.return_permit(permit),
            CallMessage::RecordOutcome(claim_id, status, body) => {
                self.record_outcome(claim_id, status, body, appends, step);
            }
            CallMessage::GiveUp(claim_id, reason, waiter) => {
                if let Some(entry) = self.attempts.get_mut(&claim_id) {
                    entry.reason = reason;
                    entry.waiter = Some(waiter);
                }
                self.give_up(claim_id, appends, step);
            }
            CallMessage::Found(key, outcome) => {
                info!("call: outcome found at the service; key={key}");
                let record = Kind::CallOutcome(outcome.to_wire(&key));
                self.push(record, appends, step.now);
            }
            CallMessage::Fetch(key, reply) => {
                let view = self.ledger.as_ref().map(|ledger| ledger.view(&key));
                let _ = reply.send(match view {
                    Some(CallView::Settled(outcome)) => Some(outcome),
                    _ => None,
                });
            }
        }
        self.advance(appends, step);
    }

    fn claim(
        &mut self,
        request: ClaimRequest,
        waiter: oneshot::Sender<ClaimDecision>,
        appends: &mut AppendControl,
        step: StepContext,
    ) {
        let claim = ClaimRecord {
            claim_id: ClaimId(Uuid::now_v7().as_u128()),
            owner: self.own,
            attempt: request.attempt,
            made_at: step.wall,
            request_digest: request.digest.clone(),
        };
        let claim_id = claim.claim_id;
        let attempt = CallAttempt::new(request.key.clone(), claim, request.deadline);
        let mut entry = AttemptEntry {
            attempt,
            digest: request.digest,
            waiter: Some(waiter),
            begun_at: step.now,
            deadline: request.deadline,
            reason: ErrorKind::LogUnavailable,
            owner_told: false,
        };
        // A call with a recorded outcome needs no claim.
        let has_ended = self
            .ledger
            .as_ref()
            .is_some_and(|ledger| matches!(ledger.view(&request.key), CallView::Settled(_)));
        if !has_ended && let Some(record) = entry.attempt.submit() {
            self.push(Kind::CallClaim(record), appends, step.now);
        }
        self.attempts.insert(claim_id, entry);
    }

    fn push(&self, kind: Kind, appends: &mut AppendControl, now: MonoTime) {
        if let Err(error) = appends.push(LogTopic::Calls, kind, now) {
            warn!("call: can't buffer record; error={error}");
        }
    }

    /// Issues a permit. The ledger is checked once more, in case this VM was paused for longer than
    /// the call window.
    fn take_permit(&mut self, claim_id: ClaimId, step: StepContext) -> Option<DispatchPermit> {
        let ledger = self.ledger.as_ref()?;
        let entry = self.attempts.get_mut(&claim_id)?;
        entry.attempt.observe(ledger, step.wall);
        entry.attempt.take_permit(step.now)
    }

    fn return_permit(&mut self, permit: DispatchPermit) {
        let claim_id = permit.claim_id();
        if let Some(entry) = self.attempts.get_mut(&claim_id)
            && entry.attempt.return_permit(permit).is_err()
        {
            warn!("call: permit was returned to the wrong attempt; claim={claim_id}");
        }
    }

    fn record_outcome(
        &mut self,
        claim_id: ClaimId,
        status: u32,
        body: Bytes,
        appends: &mut AppendControl,
        step: StepContext,
    ) {
        let Some(entry) = self.attempts.get_mut(&claim_id) else {
            return;
        };
        if let Some(record) = entry.attempt.record_outcome(status, body, step.wall) {
            self.push(Kind::CallOutcome(record), appends, step.now);
        }
        self.attempts.remove(&claim_id);
    }

    fn give_up(&mut self, claim_id: ClaimId, appends: &mut AppendControl, step: StepContext) {
        let Some(entry) = self.attempts.get_mut(&claim_id) else {
            return;
        };
        let Some(record) = entry.attempt.give_up(step.wall) else {
            return;
        };
        self.pending_releases.add(&record);
        self.push(Kind::CallRelease(record), appends, step.now);
    }

    /// Replies to the attempts for which the ledger has a decision.
    pub(crate) fn advance(&mut self, appends: &mut AppendControl, step: StepContext) {
        let claims: Vec<ClaimId> = self.attempts.keys().copied().collect();
        for claim_id in claims {
            self.advance_attempt(claim_id, appends, step);
        }
    }

    fn advance_attempt(
        &mut self,
        claim_id: ClaimId,
        appends: &mut AppendControl,
        step: StepContext,
    ) {
        let unread = unread_ledger(self.limits, step.wall);
        let ledger = self.ledger.as_ref().unwrap_or(&unread);
        let Some(entry) = self.attempts.get_mut(&claim_id) else {
            return;
        };
        entry.attempt.observe(ledger, step.wall);
        if entry.waiter.is_none() {
            // The runner has ended without taking the permit, so nothing was sent.
            let abandoned = step.now >= entry.deadline + RELEASE_GRACE;
            if abandoned && entry.attempt.is_owner() {
                self.give_up(claim_id, appends, step);
                self.attempts.remove(&claim_id);
            }
            return;
        }
        if entry.attempt.is_owner() && !entry.attempt.is_given_up() {
            reply_to_runner(entry, ClaimDecision::Owner(claim_id));
            return;
        }
        let log_reachable = step.log_lost_at.is_none();
        let decision = match entry.attempt.response(ledger, log_reachable, step.wall) {
            AttemptResponse::Outcome(outcome) => ClaimDecision::Answered(outcome),
            AttemptResponse::NotRun => refused(not_run_kind(entry.reason), "the call did not run"),
            AttemptResponse::KeyReused => {
                refused(ErrorKind::KeyReused, "the key belongs to another request")
            }
            AttemptResponse::Unknown => unknown_outcome(),
            AttemptResponse::Pending => {
                let key = entry.attempt.key().clone();
                let reused = ledger.is_reused(&key, &entry.digest);
                let owned = matches!(ledger.view(&key), CallView::Owned(owner)
                    if owner.claim_id != claim_id);
                let owner = match ledger.view(&key) {
                    CallView::Owned(owner) if owned => Some(owner.claim_id),
                    _ => None,
                };
                self.pending(claim_id, reused, owner, appends, step);
                return;
            }
        };
        reply_to_runner(entry, decision);
        self.give_up(claim_id, appends, step);
        self.attempts.remove(&claim_id);
    }

    /// Decides whether an attempt without a final outcome keeps waiting.
    fn pending(
        &mut self,
        claim_id: ClaimId,
        reused: bool,
        owner: Option<ClaimId>,
        appends: &mut AppendControl,
        step: StepContext,
    ) {
        let Some(entry) = self.attempts.get_mut(&claim_id) else {
            return;
        };
        let given_up = entry.attempt.is_given_up();
        let expired = step.now >= entry.deadline;
        let log_lost = step.log_lost_at.is_some_and(|at| step.now.since(at) >= LOG_OUTAGE_LIMIT);
        if given_up {
            if step.now >= entry.deadline + RELEASE_GRACE || log_lost {
                reply_to_runner(entry, unknown_outcome());
                self.attempts.remove(&claim_id);
            }
            return;
        }
        if reused || expired || (log_lost && owner.is_none()) {
            if expired && !log_lost {
                entry.reason = ErrorKind::DeadlineNotStarted;
            }
            self.give_up(claim_id, appends, step);
            self.advance_attempt(claim_id, appends, step);
            return;
        }
        let waited = step.now.since(entry.begun_at) >= OWNER_WAIT_LIMIT;
        if let Some(owner) = owner
            && waited
            && !entry.owner_told
        {
            entry.owner_told = true;
            reply_to_runner(
                entry,
                ClaimDecision::OwnedElsewhere(WaitingClaim { own: claim_id, owner }),
            );
        }
    }

    /// Appends missing releases again, appends a checkpoint if one is due, and removes expired
    /// records.
    pub(crate) fn tick(&mut self, appends: &mut AppendControl, step: StepContext) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        ledger.expire(step.wall);
        if step.now.since(self.released_at) >= RELEASE_PERIOD {
            self.released_at = step.now;
            let due = self.pending_releases.due(ledger, self.limits, step.wall);
            for record in due {
                let _ = appends.push(LogTopic::Calls, Kind::CallRelease(record), step.now);
            }
        }
        let waited = self.checkpoint_at.is_none_or(|at| step.now.since(at) >= CHECKPOINT_PERIOD);
        if waited && ledger.checkpoint_due(step.wall, stagger(self.own, self.limits)) {
            self.checkpoint_at = Some(step.now);
            for entry in ledger.checkpoint(step.wall) {
                let Some(kind) = entry.kind else { continue };
                // Stop at the first failure: the checkpoint record comes last and must not follow
                // an incomplete copy, or a new VM might run a call again.
                if let Err(error) = appends.push(LogTopic::Calls, kind, step.now) {
                    warn!("call: checkpoint postponed; error={error}");
                    return;
                }
            }
        }
    }

    /// Returns whether this VM has no open call.
    pub(crate) fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }
}

/// Returns a delay that differs between VMs, so that usually only one appends a checkpoint.
pub(crate) fn stagger(own: Incarnation, limits: LedgerLimits) -> Duration {
    let span = limits.retention / 8;
    let fraction = (own.0 & 0xffff) as f64 / f64::from(0x1_0000);
    span.mul_f64(fraction)
}

/// Returns the ledger of a VM that has not read the log yet. It decides nothing.
fn unread_ledger(limits: LedgerLimits, wall: WallTime) -> CallLedger {
    let end = dragonflycart_core::LogOffset(u64::MAX);
    CallLedger::new(limits, end, end, wall)
}

fn reply_to_runner(entry: &mut AttemptEntry, decision: ClaimDecision) {
    if let Some(waiter) = entry.waiter.take() {
        // The runner may have ended. The caller can fetch the outcome by its key.
        let _ = waiter.send(decision);
    }
}

fn refused(kind: ErrorKind, message: &str) -> ClaimDecision {
    ClaimDecision::Refused(ServiceError::new(kind, message))
}

/// Returns the error kind for a call that certainly did not run. The placement may have rejected
/// the call with a kind that says "may have run", even though no attempt ever connected.
fn not_run_kind(reason: ErrorKind) -> ErrorKind {
    if reason.run_state() == RunState::NotRun { reason } else { ErrorKind::DeadlineNotStarted }
}

fn unknown_outcome() -> ClaimDecision {
    refused(ErrorKind::OutcomeUnknown, "the call may have run; ask again with the same key")
}
