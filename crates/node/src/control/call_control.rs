//! Calls that are not idempotent: claims, permits and outcomes.
//!
//! A call is sent only by the VM whose claim comes first in the log, and that VM hands its permit
//! out once. See the choices on at-most-once execution in the design page.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use dragonflycart_core::{ErrorKind, Incarnation, MonoTime, RunState, ServiceError, WallTime};
use dragonflycart_interfaces::LogTopic;
use dragonflycart_state::{
    AttemptAnswer, CallAttempt, CallLedger, CallView, ClaimId, ClaimRecord, DispatchPermit,
    LedgerLimits, PendingReleases,
};
use dragonflycart_wire::log_entry::Kind;
use log::{info, warn};
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::{
    call::{CallBegin, CallMessage, CallTurn, WaitingClaim},
    control::{append_control::AppendControl, decoded_batch::DecodedBatch},
};

/// Time without the log service after which a new call is refused before its deadline.
const LOG_PATIENCE: Duration = Duration::from_secs(1);
/// Time after which a caller whose call another claim owns is told so, to ask the service itself.
const OWNER_PATIENCE: Duration = Duration::from_millis(500);
/// Interval at which releases that are not in the log yet are appended again.
const RELEASE_PERIOD: Duration = Duration::from_secs(5);
/// Interval between two attempts to append a checkpoint.
const CHECKPOINT_PERIOD: Duration = Duration::from_secs(60);
/// Longest time for which an answered attempt is kept to wait for its release in the log.
const RELEASE_GRACE: Duration = Duration::from_secs(1);

/// Time and reachability of the log, passed to each step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallMoment {
    /// Monotonic time.
    pub(crate) now: MonoTime,
    /// Wall-clock time.
    pub(crate) wall: WallTime,
    /// Time since which the log service does not answer.
    pub(crate) log_lost_at: Option<MonoTime>,
}

/// One attempt of this VM.
struct AttemptEntry {
    attempt: CallAttempt,
    digest: Bytes,
    waiter: Option<oneshot::Sender<CallTurn>>,
    begun_at: MonoTime,
    deadline: MonoTime,
    /// Why the claim was given up, for the answer once "not run" is certain.
    reason: ErrorKind,
    owner_told: bool,
}

/// Ledger of calls and the attempts of this VM.
pub(crate) struct CallControl {
    own: Incarnation,
    limits: LedgerLimits,
    ledger: Option<CallLedger>,
    attempts: BTreeMap<ClaimId, AttemptEntry>,
    given_up: PendingReleases,
    released_at: MonoTime,
    checkpoint_at: Option<MonoTime>,
}

impl CallControl {
    /// Starts without any record.
    pub(crate) fn new(own: Incarnation, limits: LedgerLimits) -> CallControl {
        CallControl {
            own,
            limits,
            ledger: None,
            attempts: BTreeMap::new(),
            given_up: PendingReleases::default(),
            released_at: MonoTime::default(),
            checkpoint_at: None,
        }
    }

    /// Applies what was read from topic `calls`.
    pub(crate) fn apply(&mut self, batch: &DecodedBatch, wall: WallTime) {
        let limits = self.limits;
        let ledger = self
            .ledger
            .get_or_insert_with(|| CallLedger::new(limits, batch.first_available, batch.end, wall));
        for (offset, append) in &batch.appends {
            ledger.apply_batch(*offset, append, wall);
        }
    }

    /// Goes on at `first_available` after records were removed unread.
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
        moment: CallMoment,
    ) {
        match message {
            CallMessage::Begin(begin, waiter) => self.begin(begin, waiter, appends, moment),
            CallMessage::Await(claim_id, waiter) => {
                if let Some(entry) = self.attempts.get_mut(&claim_id) {
                    entry.waiter = Some(waiter);
                }
            }
            CallMessage::TakePermit(claim_id, reply) => {
                let permit = self.take_permit(claim_id, moment);
                if let Err(Some(permit)) = reply.send(permit) {
                    // The runner is gone, so nothing was sent.
                    self.return_permit(permit);
                }
            }
            CallMessage::ReturnPermit(permit) => self.return_permit(permit),
            CallMessage::Settle(claim_id, status, body) => {
                self.settle(claim_id, status, body, appends, moment);
            }
            CallMessage::GiveUp(claim_id, reason, waiter) => {
                if let Some(entry) = self.attempts.get_mut(&claim_id) {
                    entry.reason = reason;
                    entry.waiter = Some(waiter);
                }
                self.give_up(claim_id, appends, moment);
            }
            CallMessage::Found(key, outcome) => {
                info!("call: the service knows the outcome; key={key}");
                let record = Kind::CallOutcome(outcome.to_wire(&key));
                self.push(record, appends, moment.now);
            }
            CallMessage::Fetch(key, reply) => {
                let view = self.ledger.as_ref().map(|ledger| ledger.view(&key));
                let _ = reply.send(match view {
                    Some(CallView::Settled(outcome)) => Some(outcome),
                    _ => None,
                });
            }
        }
        self.advance(appends, moment);
    }

    fn begin(
        &mut self,
        begin: CallBegin,
        waiter: oneshot::Sender<CallTurn>,
        appends: &mut AppendControl,
        moment: CallMoment,
    ) {
        let claim = ClaimRecord {
            claim_id: ClaimId(Uuid::now_v7().as_u128()),
            owner: self.own,
            attempt: begin.attempt,
            made_at: moment.wall,
            request_digest: begin.digest.clone(),
        };
        let claim_id = claim.claim_id;
        let attempt = CallAttempt::new(begin.key.clone(), claim, begin.deadline);
        let mut entry = AttemptEntry {
            attempt,
            digest: begin.digest,
            waiter: Some(waiter),
            begun_at: moment.now,
            deadline: begin.deadline,
            reason: ErrorKind::LogUnavailable,
            owner_told: false,
        };
        // A call whose answer is known needs no claim.
        let settled = self
            .ledger
            .as_ref()
            .is_some_and(|ledger| matches!(ledger.view(&begin.key), CallView::Settled(_)));
        if !settled && let Some(record) = entry.attempt.submit() {
            self.push(Kind::CallClaim(record), appends, moment.now);
        }
        self.attempts.insert(claim_id, entry);
    }

    fn push(&self, kind: Kind, appends: &mut AppendControl, now: MonoTime) {
        if let Err(error) = appends.push(LogTopic::Calls, kind, now) {
            warn!("call: record was not accepted for append; error={error}");
        }
    }

    /// Hands out a permit after a last look at the ledger, which notices a pause of this VM that
    /// lasted longer than the call window.
    fn take_permit(&mut self, claim_id: ClaimId, moment: CallMoment) -> Option<DispatchPermit> {
        let ledger = self.ledger.as_ref()?;
        let entry = self.attempts.get_mut(&claim_id)?;
        entry.attempt.observe(ledger, moment.wall);
        entry.attempt.take_permit(moment.now)
    }

    fn return_permit(&mut self, permit: DispatchPermit) {
        let claim_id = permit.claim_id();
        if let Some(entry) = self.attempts.get_mut(&claim_id)
            && entry.attempt.return_permit(permit).is_err()
        {
            warn!("call: a permit came back to the wrong attempt; claim={claim_id}");
        }
    }

    fn settle(
        &mut self,
        claim_id: ClaimId,
        status: u32,
        body: Bytes,
        appends: &mut AppendControl,
        moment: CallMoment,
    ) {
        let Some(entry) = self.attempts.get_mut(&claim_id) else {
            return;
        };
        if let Some(record) = entry.attempt.settle(status, body, moment.wall) {
            self.push(Kind::CallOutcome(record), appends, moment.now);
        }
        self.attempts.remove(&claim_id);
    }

    fn give_up(&mut self, claim_id: ClaimId, appends: &mut AppendControl, moment: CallMoment) {
        let Some(entry) = self.attempts.get_mut(&claim_id) else {
            return;
        };
        let Some(record) = entry.attempt.give_up(moment.wall) else {
            return;
        };
        self.given_up.add(&record);
        self.push(Kind::CallRelease(record), appends, moment.now);
    }

    /// Answers the attempts whose turn is known.
    pub(crate) fn advance(&mut self, appends: &mut AppendControl, moment: CallMoment) {
        let claims: Vec<ClaimId> = self.attempts.keys().copied().collect();
        for claim_id in claims {
            self.advance_attempt(claim_id, appends, moment);
        }
    }

    fn advance_attempt(
        &mut self,
        claim_id: ClaimId,
        appends: &mut AppendControl,
        moment: CallMoment,
    ) {
        let unread = unread_ledger(self.limits, moment.wall);
        let ledger = self.ledger.as_ref().unwrap_or(&unread);
        let Some(entry) = self.attempts.get_mut(&claim_id) else {
            return;
        };
        entry.attempt.observe(ledger, moment.wall);
        if entry.waiter.is_none() {
            // The runner ended without taking its permit, so nothing was sent.
            let abandoned = moment.now >= entry.deadline + RELEASE_GRACE;
            if abandoned && entry.attempt.is_owner() {
                self.give_up(claim_id, appends, moment);
                self.attempts.remove(&claim_id);
            }
            return;
        }
        if entry.attempt.is_owner() && !entry.attempt.is_given_up() {
            answer(entry, CallTurn::Owner(claim_id));
            return;
        }
        let log_reachable = moment.log_lost_at.is_none();
        let turn = match entry.attempt.answer(ledger, log_reachable, moment.wall) {
            AttemptAnswer::Outcome(outcome) => CallTurn::Answered(outcome),
            AttemptAnswer::NotRun => refused(not_run_kind(entry.reason), "the call did not run"),
            AttemptAnswer::KeyReused => {
                refused(ErrorKind::KeyReused, "the key belongs to another request")
            }
            AttemptAnswer::Unknown => unknown_outcome(),
            AttemptAnswer::Pending => {
                let key = entry.attempt.key().clone();
                let reused = ledger.is_reused(&key, &entry.digest);
                let owned = matches!(ledger.view(&key), CallView::Owned(owner)
                    if owner.claim_id != claim_id);
                let owner = match ledger.view(&key) {
                    CallView::Owned(owner) if owned => Some(owner.claim_id),
                    _ => None,
                };
                self.pending(claim_id, reused, owner, appends, moment);
                return;
            }
        };
        answer(entry, turn);
        self.give_up(claim_id, appends, moment);
        self.attempts.remove(&claim_id);
    }

    /// Decides whether an attempt without a final answer goes on waiting.
    fn pending(
        &mut self,
        claim_id: ClaimId,
        reused: bool,
        owner: Option<ClaimId>,
        appends: &mut AppendControl,
        moment: CallMoment,
    ) {
        let Some(entry) = self.attempts.get_mut(&claim_id) else {
            return;
        };
        let given_up = entry.attempt.is_given_up();
        let expired = moment.now >= entry.deadline;
        let log_lost = moment.log_lost_at.is_some_and(|at| moment.now.since(at) >= LOG_PATIENCE);
        if given_up {
            if moment.now >= entry.deadline + RELEASE_GRACE || log_lost {
                answer(entry, unknown_outcome());
                self.attempts.remove(&claim_id);
            }
            return;
        }
        if reused || expired || (log_lost && owner.is_none()) {
            if expired && !log_lost {
                entry.reason = ErrorKind::DeadlineNotStarted;
            }
            self.give_up(claim_id, appends, moment);
            self.advance_attempt(claim_id, appends, moment);
            return;
        }
        let waited = moment.now.since(entry.begun_at) >= OWNER_PATIENCE;
        if let Some(owner) = owner
            && waited
            && !entry.owner_told
        {
            entry.owner_told = true;
            answer(entry, CallTurn::OwnedElsewhere(WaitingClaim { own: claim_id, owner }));
        }
    }

    /// Repeats what must be in the log and is not yet, and forgets what is too old.
    pub(crate) fn upkeep(&mut self, appends: &mut AppendControl, moment: CallMoment) {
        let Some(ledger) = &mut self.ledger else {
            return;
        };
        ledger.expire(moment.wall);
        if moment.now.since(self.released_at) >= RELEASE_PERIOD {
            self.released_at = moment.now;
            let due = self.given_up.due(ledger, self.limits, moment.wall);
            for record in due {
                let _ = appends.push(LogTopic::Calls, Kind::CallRelease(record), moment.now);
            }
        }
        let waited = self.checkpoint_at.is_none_or(|at| moment.now.since(at) >= CHECKPOINT_PERIOD);
        if waited && ledger.checkpoint_due(moment.wall, stagger(self.own, self.limits)) {
            self.checkpoint_at = Some(moment.now);
            for entry in ledger.checkpoint(moment.wall) {
                let Some(kind) = entry.kind else { continue };
                // A checkpoint after missing copies would let a new VM run a call again.
                if let Err(error) = appends.push(LogTopic::Calls, kind, moment.now) {
                    warn!("call: checkpoint is put off; error={error}");
                    return;
                }
            }
        }
    }

    /// Returns whether no call of this VM is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }
}

/// Spreads the checkpoints of several VMs, so that usually one VM appends one.
pub(crate) fn stagger(own: Incarnation, limits: LedgerLimits) -> Duration {
    let span = limits.retention / 8;
    let fraction = (own.0 & 0xffff) as f64 / f64::from(0x1_0000);
    span.mul_f64(fraction)
}

/// Ledger of a VM that has not read the log yet; it decides nothing.
fn unread_ledger(limits: LedgerLimits, wall: WallTime) -> CallLedger {
    let end = dragonflycart_core::LogOffset(u64::MAX);
    CallLedger::new(limits, end, end, wall)
}

fn answer(entry: &mut AttemptEntry, turn: CallTurn) {
    if let Some(waiter) = entry.waiter.take() {
        // A caller that went away can fetch the outcome by its key.
        let _ = waiter.send(turn);
    }
}

fn refused(kind: ErrorKind, message: &str) -> CallTurn {
    CallTurn::Refused(ServiceError::new(kind, message))
}

/// Returns the kind for a call that certainly did not run. The placement gives up with kinds that
/// say "may have run" after attempts that never connected.
fn not_run_kind(reason: ErrorKind) -> ErrorKind {
    if reason.run_state() == RunState::NotRun { reason } else { ErrorKind::DeadlineNotStarted }
}

fn unknown_outcome() -> CallTurn {
    refused(ErrorKind::OutcomeUnknown, "the call may have run; ask again with the same key")
}
