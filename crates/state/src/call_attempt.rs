//! One VM's attempt to run a call.

use bytes::Bytes;
use dragonflycart_core::{MonoTime, WallTime};
use dragonflycart_wire::{CallClaim, CallOutcome, CallRelease};

use crate::{
    AttemptResponse, CallKey, CallLedger, CallView, ClaimId, ClaimRecord, DispatchPermit,
    OutcomeRecord, ReleaseRecord,
};

/// Phase of an attempt. Each variant holds the data that exists only in that phase.
///
/// This is a plain enum and not a `statig` state machine: the permit is moved out of the state,
/// which a `statig` handler can't do because it gets the state by reference.
#[derive(Debug)]
enum AttemptPhase {
    /// No claim was submitted.
    Idle,
    /// The claim may be in the log, now or later.
    Claimed,
    /// The claim owns the key and nothing was sent.
    Owner(DispatchPermit),
    /// The permit was handed out, so the call may have been sent.
    Dispatched,
    /// The attempt has ended after its permit was handed out.
    Ended(OutcomeRecord),
    /// The claim was given up; the call will never be sent.
    GivenUp,
}

/// One VM's attempt to run a call that is not idempotent.
#[derive(Debug)]
pub struct CallAttempt {
    key: CallKey,
    claim: ClaimRecord,
    deadline: MonoTime,
    phase: AttemptPhase,
    key_reused: bool,
}

impl CallAttempt {
    /// Creates an attempt. Nothing is sent after `deadline`. `claim.attempt` is the number that the
    /// caller gave, or zero.
    pub fn new(key: CallKey, claim: ClaimRecord, deadline: MonoTime) -> CallAttempt {
        CallAttempt { key, claim, deadline, phase: AttemptPhase::Idle, key_reused: false }
    }

    /// Returns the key of the call.
    pub fn key(&self) -> &CallKey {
        &self.key
    }

    /// Returns the identifier of the claim.
    pub fn claim_id(&self) -> ClaimId {
        self.claim.claim_id
    }

    /// Returns the claim to append, once. From then on the claim counts as being in the log.
    pub fn submit(&mut self) -> Option<CallClaim> {
        if !matches!(self.phase, AttemptPhase::Idle) {
            return None;
        }
        self.phase = AttemptPhase::Claimed;
        Some(self.claim.to_wire(&self.key, None))
    }

    /// Updates the ownership from the ledger and the time. The attempt becomes the owner if its
    /// claim is the first open one in a ledger that has missed nothing. It loses ownership after
    /// the call window, because other VMs have forgotten the key by then. Call this before
    /// `take_permit`: the deadline is monotonic time, and that clock can stand still while the VM
    /// is paused.
    pub fn observe(&mut self, ledger: &CallLedger, now: WallTime) {
        self.key_reused |= ledger.is_reused(&self.key, &self.claim.request_digest);
        let within_window = ledger.is_within_window(self.claim.made_at, now);
        if !within_window && self.is_owner() {
            self.phase = AttemptPhase::Claimed;
        }
        if !matches!(self.phase, AttemptPhase::Claimed) || self.key_reused || !within_window {
            return;
        }
        let owns = match ledger.view(&self.key) {
            CallView::Owned(owner) => owner.claim_id == self.claim.claim_id,
            _ => false,
        };
        if owns && ledger.is_authoritative(now) {
            self.phase = AttemptPhase::Owner(DispatchPermit::new(self.claim.claim_id));
        }
    }

    /// Hands out the permit if this attempt owns the key and the deadline has not passed. The call
    /// counts as sent until the permit comes back.
    pub fn take_permit(&mut self, now: MonoTime) -> Option<DispatchPermit> {
        if now >= self.deadline {
            return None;
        }
        match std::mem::replace(&mut self.phase, AttemptPhase::Dispatched) {
            AttemptPhase::Owner(permit) => Some(permit),
            other => {
                self.phase = other;
                None
            }
        }
    }

    /// Takes back a permit that was not used, which proves that nothing was sent.
    ///
    /// # Errors
    ///
    /// Returns the permit if it belongs to another attempt.
    pub fn return_permit(&mut self, permit: DispatchPermit) -> Result<(), DispatchPermit> {
        let matches = matches!(self.phase, AttemptPhase::Dispatched);
        if !matches || permit.claim_id() != self.claim.claim_id {
            return Err(permit);
        }
        self.phase = AttemptPhase::Owner(permit);
        Ok(())
    }

    /// Records the outcome of a call that was sent and returns the record to append. Status zero
    /// means that the response was lost.
    pub fn record_outcome(
        &mut self,
        status: u32,
        body: Bytes,
        now: WallTime,
    ) -> Option<CallOutcome> {
        if !matches!(self.phase, AttemptPhase::Dispatched) {
            return None;
        }
        let outcome = OutcomeRecord { claim_id: self.claim.claim_id, status, body, made_at: now };
        let record = outcome.to_wire(&self.key);
        self.phase = AttemptPhase::Ended(outcome);
        Some(record)
    }

    /// Gives the claim up for good and returns the release to append, or `None` while the permit is
    /// handed out. If no claim was submitted, the release only voids earlier attempts; this needs a
    /// numbered attempt.
    pub fn give_up(&mut self, now: WallTime) -> Option<CallRelease> {
        let claim_id = match self.phase {
            AttemptPhase::Idle => ClaimId::default(),
            AttemptPhase::Claimed | AttemptPhase::Owner(_) => self.claim.claim_id,
            _ => return None,
        };
        self.phase = AttemptPhase::GivenUp;
        // A different request with the same key must not void the attempts of the first one.
        let through_attempt = if self.key_reused { 0 } else { self.claim.attempt };
        if claim_id == ClaimId::default() && through_attempt == 0 {
            return None;
        }
        let release = ReleaseRecord { claim_id, through_attempt, made_at: now };
        Some(release.to_wire(&self.key, None))
    }

    /// Returns whether the claim was given up.
    pub fn is_given_up(&self) -> bool {
        matches!(self.phase, AttemptPhase::GivenUp)
    }

    /// Returns whether the attempt owns the key and may send.
    pub fn is_owner(&self) -> bool {
        matches!(self.phase, AttemptPhase::Owner(_))
    }

    /// Returns the response that is correct now. `log_reachable` tells whether the release can be
    /// appended to the log.
    pub fn response(
        &self,
        ledger: &CallLedger,
        log_reachable: bool,
        now: WallTime,
    ) -> AttemptResponse {
        if let AttemptPhase::Ended(outcome) = &self.phase
            && outcome.is_known()
        {
            return AttemptResponse::Outcome(outcome.clone());
        }
        if self.key_reused || ledger.is_reused(&self.key, &self.claim.request_digest) {
            return if self.is_given_up() {
                AttemptResponse::KeyReused
            } else {
                AttemptResponse::Pending
            };
        }
        if let Some(outcome) = ledger.outcome_of(&self.key, &self.claim.request_digest) {
            return AttemptResponse::Outcome(outcome.clone());
        }
        match self.phase {
            AttemptPhase::GivenUp => self.response_after_giving_up(ledger, log_reachable, now),
            AttemptPhase::Ended(_) => AttemptResponse::Unknown,
            _ => AttemptResponse::Pending,
        }
    }

    /// Returns the response after the claim was given up. The first attempt of a caller that
    /// numbers its attempts has no other attempt that could run. In all other cases the log has to
    /// show that no other attempt ran or can still run.
    fn response_after_giving_up(
        &self,
        ledger: &CallLedger,
        log_reachable: bool,
        now: WallTime,
    ) -> AttemptResponse {
        if ledger.excludes_attempt(&self.key, self.claim.attempt, now) {
            return AttemptResponse::NotRun;
        }
        if !log_reachable && self.claim.attempt == 1 {
            return AttemptResponse::NotRun;
        }
        let open = matches!(ledger.view(&self.key), CallView::Owned(owner)
            if owner.claim_id != self.claim.claim_id);
        if self.claim.attempt == 0 || open || !log_reachable {
            return AttemptResponse::Unknown;
        }
        AttemptResponse::Pending
    }
}
