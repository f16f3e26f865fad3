//! Single faults of calls that the random tests reach too rarely or can't express.

use std::time::Duration;

use bytes::Bytes;
use dragonflycart_core::{Incarnation, LogOffset, MonoTime};
use dragonflycart_state::{
    AttemptResponse, CallAttempt, CallKey, CallLedger, CallView, ClaimId, ClaimRecord,
    LedgerLimits, PendingReleases,
};
use dragonflycart_wire::{RecordBatch, log_entry::Kind};

use crate::support::{batch_of, hour, millis};

const DEADLINE: MonoTime = MonoTime::from_millis(10_000);

fn key() -> CallKey {
    CallKey::new("team", "key")
}

fn claim_record(claim_id: u128, attempt: u32, digest: u8) -> ClaimRecord {
    ClaimRecord {
        claim_id: ClaimId(claim_id),
        owner: Incarnation(claim_id),
        attempt,
        made_at: hour(0),
        request_digest: Bytes::copy_from_slice(&[digest]),
    }
}

fn attempt(claim_id: u128, number: u32) -> CallAttempt {
    CallAttempt::new(key(), claim_record(claim_id, number, 0), DEADLINE)
}

fn empty_ledger() -> CallLedger {
    CallLedger::new(LedgerLimits::default(), LogOffset(0), LogOffset(0), hour(0))
}

fn append(ledger: &mut CallLedger, kind: Kind) {
    let offset = ledger.position();
    ledger.apply_batch(offset, &batch_of(1, offset.0, kind), hour(0));
}

/// Submits the claim of the attempt and reads it from the log.
fn claim(ledger: &mut CallLedger, attempt: &mut CallAttempt) {
    let record = attempt.submit().expect("the attempt is new");
    append(ledger, Kind::CallClaim(record));
    attempt.observe(ledger, hour(0));
}

fn response(attempt: &CallAttempt, ledger: &CallLedger) -> AttemptResponse {
    attempt.response(ledger, true, hour(0))
}

/// Guards against the response "not run" while a traffic thread may still send the call.
#[test]
fn claim_is_given_up_only_with_the_permit_back() {
    let mut ledger = empty_ledger();
    let mut attempt = attempt(1, 1);
    claim(&mut ledger, &mut attempt);
    let permit = attempt.take_permit(millis(0)).expect("it owns the key");

    assert!(attempt.take_permit(millis(0)).is_none());
    assert!(attempt.give_up(hour(0)).is_none());
    attempt.return_permit(permit).expect("the permit is its own");
    let release = attempt.give_up(hour(0)).expect("nothing was sent");

    assert_eq!(response(&attempt, &ledger), AttemptResponse::Pending);
    append(&mut ledger, Kind::CallRelease(release));
    assert_eq!(response(&attempt, &ledger), AttemptResponse::NotRun);
}

/// Guards against a call that is sent after its caller was told that the deadline has passed.
#[test]
fn no_permit_after_the_deadline() {
    let mut ledger = empty_ledger();
    let mut attempt = attempt(1, 1);
    claim(&mut ledger, &mut attempt);

    assert!(attempt.take_permit(DEADLINE).is_none());
    assert!(attempt.give_up(hour(0)).is_some());
}

/// Guards against a call that is sent after a pause in which the monotonic clock stood still and
/// other VMs forgot the key.
#[test]
fn no_permit_after_the_call_window() {
    let mut ledger = empty_ledger();
    let mut attempt = attempt(1, 1);
    claim(&mut ledger, &mut attempt);

    attempt.observe(&ledger, hour(72));
    assert!(attempt.take_permit(millis(0)).is_none());
    attempt.observe(&ledger, hour(71));
    assert!(attempt.take_permit(millis(0)).is_some());
}

/// Guards against taking an empty log as proof that nothing runs, as choice 5 (a) of the design
/// page first did: a claim of an earlier attempt may still be in flight.
#[test]
fn late_claim_of_an_earlier_attempt_does_not_run_after_not_run() {
    let mut ledger = empty_ledger();
    let mut first = attempt(1, 1);
    let late_claim = first.submit().expect("the attempt is new");
    let mut second = attempt(2, 2);
    let fence = second.give_up(hour(0)).expect("the attempt is numbered");
    assert_eq!(response(&second, &ledger), AttemptResponse::Pending);

    append(&mut ledger, Kind::CallRelease(fence));
    assert_eq!(response(&second, &ledger), AttemptResponse::NotRun);
    append(&mut ledger, Kind::CallClaim(late_claim));
    first.observe(&ledger, hour(0));

    assert!(!first.is_owner());
    let mut third = attempt(3, 3);
    claim(&mut ledger, &mut third);
    assert!(third.is_owner(), "another attempt can run");
}

/// Guards against choice 5 (b) of the design page as first written: the claim of an earlier attempt
/// that is queued behind the owner would run after the owner has given up and answered "not run".
#[test]
fn earlier_attempt_behind_the_owner_does_not_run_after_not_run() {
    let mut ledger = empty_ledger();
    let mut second = attempt(2, 2);
    claim(&mut ledger, &mut second);
    let mut first = attempt(1, 1);
    claim(&mut ledger, &mut first);

    let release = second.give_up(hour(0)).expect("nothing was sent");
    append(&mut ledger, Kind::CallRelease(release));
    first.observe(&ledger, hour(0));

    assert_eq!(response(&second, &ledger), AttemptResponse::NotRun);
    assert!(!first.is_owner());
}

/// Guards against a key that stays blocked by a claim that was given up while the log could not be
/// reached and was appended later.
#[test]
fn release_of_a_late_claim_is_repeated_until_it_is_read() {
    let mut ledger = empty_ledger();
    let mut attempt = attempt(1, 1);
    let late_claim = attempt.submit().expect("the attempt is new");
    let release = attempt.give_up(hour(0)).expect("nothing was sent");
    let mut claims = PendingReleases::default();
    claims.add(&release);
    assert_eq!(attempt.response(&ledger, false, hour(0)), AttemptResponse::NotRun);

    append(&mut ledger, Kind::CallClaim(late_claim));
    assert!(matches!(ledger.view(&key()), CallView::Owned(_)));
    let due = claims.due(&ledger, LedgerLimits::default(), hour(0));
    append(&mut ledger, Kind::CallRelease(due[0].clone()));

    assert_eq!(ledger.view(&key()), CallView::Free);
    assert!(claims.due(&ledger, LedgerLimits::default(), hour(0)).is_empty());
    assert!(claims.is_empty());
}

/// Guards against a response that belongs to another request with the same key.
#[test]
fn key_of_another_request_is_refused() {
    let mut ledger = empty_ledger();
    let mut first = attempt(1, 1);
    claim(&mut ledger, &mut first);
    let mut other = CallAttempt::new(key(), claim_record(2, 2, 9), DEADLINE);
    claim(&mut ledger, &mut other);

    let release = other.give_up(hour(0)).expect("it was never sent");

    assert_eq!(response(&other, &ledger), AttemptResponse::KeyReused);
    assert_eq!(release.through_attempt, 0, "it must not void attempts of the first request");
}

/// Guards against the response of another request on a VM that has read the outcome but not its
/// claim, which was removed from the log. Found by a run with a fresh seed.
#[test]
fn outcome_without_its_claim_is_withheld() {
    let mut old = empty_ledger();
    let mut owner = CallAttempt::new(key(), claim_record(1, 1, 9), DEADLINE);
    claim(&mut old, &mut owner);
    owner.take_permit(millis(0)).expect("it owns the key").spend();
    let outcome = owner.record_outcome(200, Bytes::new(), hour(0)).expect("it was sent");
    let limits = LedgerLimits::default();
    let mut new = CallLedger::new(limits, LogOffset(1), LogOffset(1), hour(0));
    append(&mut new, Kind::CallOutcome(outcome));
    let mut other = attempt(2, 2);
    claim(&mut new, &mut other);
    assert_eq!(response(&other, &new), AttemptResponse::Pending);

    let batch = RecordBatch { entries: old.checkpoint(hour(0)), ..RecordBatch::default() };
    new.apply_batch(LogOffset(3), &batch, hour(0));
    other.give_up(hour(0));

    assert_eq!(response(&other, &new), AttemptResponse::KeyReused);
}

/// Guards against a new VM that treats a key as free because its claim was removed from the log.
#[test]
fn ledger_after_truncation_decides_only_after_a_checkpoint() {
    let mut old = empty_ledger();
    let mut owner = attempt(1, 1);
    claim(&mut old, &mut owner);
    let copies = old.checkpoint(hour(1));
    let limits = LedgerLimits::default();
    let mut new = CallLedger::new(limits, LogOffset(1), LogOffset(2), hour(1));
    let mut retry = attempt(2, 2);
    claim(&mut new, &mut retry);
    assert!(!retry.is_owner());

    let batch = RecordBatch { entries: copies, ..RecordBatch::default() };
    new.apply_batch(LogOffset(2), &batch, hour(1));
    retry.observe(&new, hour(1));

    assert!(new.is_authoritative(hour(1)));
    assert!(!retry.is_owner());
    assert!(matches!(new.view(&key()), CallView::Owned(owner) if owner.claim_id == ClaimId(1)));
}

/// Guards against a claim that is appended after the release that voids it was removed from the
/// log: a new VM would treat it as the owner.
#[test]
fn releases_are_copied_for_claims_that_land_later() {
    let mut old = empty_ledger();
    let late_claim = attempt(1, 1).submit().expect("the attempt is new");
    let fence = attempt(2, 2).give_up(hour(0)).expect("the attempt is numbered");
    append(&mut old, Kind::CallRelease(fence));
    let limits = LedgerLimits::default();
    let mut new = CallLedger::new(limits, LogOffset(1), LogOffset(1), hour(0));

    let batch = RecordBatch { entries: old.checkpoint(hour(0)), ..RecordBatch::default() };
    new.apply_batch(LogOffset(1), &batch, hour(0));
    append(&mut new, Kind::CallClaim(late_claim));

    assert!(new.is_authoritative(hour(0)));
    assert_eq!(new.view(&key()), CallView::Free);
}

/// Guards against a new VM that says "not run" before it has read what was in the log at its start.
#[test]
fn ledger_decides_only_after_reading_to_the_end() {
    let limits = LedgerLimits::default();
    let mut ledger = CallLedger::new(limits, LogOffset(0), LogOffset(2), hour(0));
    let mut attempt = attempt(1, 1);

    claim(&mut ledger, &mut attempt);
    assert!(!attempt.is_owner());
    append(&mut ledger, Kind::CallClaim(claim_record(2, 2, 0).to_wire(&key(), None)));
    attempt.observe(&ledger, hour(0));

    assert!(attempt.is_owner());
}

/// Guards against an append that was applied twice: a reader that sees only the second copy would
/// order the claim after its competitor, while other readers order it before.
#[test]
fn claim_keeps_its_first_place_when_it_is_applied_twice() {
    let limits = LedgerLimits::default();
    let first = claim_record(1, 1, 0);
    let second = claim_record(2, 2, 0);
    let mut ledger = CallLedger::new(limits, LogOffset(6), LogOffset(6), hour(0));
    append(&mut ledger, Kind::CallClaim(second.to_wire(&key(), None)));
    append(&mut ledger, Kind::CallClaim(first.to_wire(&key(), None)));

    append(&mut ledger, Kind::CallClaim(first.to_wire(&key(), Some(LogOffset(5)))));

    assert_eq!(ledger.view(&key()), CallView::Owned(first));
}

/// Guards against records that are removed before they are appended again, and against a
/// checkpoint that counts as fresh because it was appended late.
#[test]
fn checkpoint_is_due_at_half_the_retention() {
    let mut ledger = empty_ledger();
    assert!(ledger.checkpoint_due(hour(0), Duration::ZERO));
    let entries = ledger.checkpoint(hour(0));
    let batch = RecordBatch { entries, ..RecordBatch::default() };
    ledger.apply_batch(LogOffset(0), &batch, hour(3));

    assert!(!ledger.checkpoint_due(hour(11), Duration::ZERO));
    assert!(!ledger.checkpoint_due(hour(12), Duration::from_secs(60)));
    assert!(ledger.checkpoint_due(hour(12), Duration::ZERO));
}

/// Guards against unbounded memory, and against a claim that becomes the owner after its key has
/// expired and runs in addition to a newer one.
#[test]
fn keys_expire_after_the_window_and_old_claims_do_not_run() {
    let mut ledger = empty_ledger();
    let mut attempt = attempt(1, 1);
    claim(&mut ledger, &mut attempt);
    ledger.expire(hour(72));
    assert_eq!(ledger.key_count(), 1, "kept for the clock skew");

    ledger.expire(hour(73));
    assert_eq!(ledger.view(&key()), CallView::Unseen);
    let mut paused = CallAttempt::new(key(), claim_record(2, 1, 0), DEADLINE);
    let record = paused.submit().expect("the attempt is new");
    append(&mut ledger, Kind::CallClaim(record));
    paused.observe(&ledger, hour(73));

    assert!(!paused.is_owner());
}

/// Guards against unbounded memory for one key, and against the removal of the owner by a large
/// number of claims.
#[test]
fn claims_per_key_are_bounded_and_keep_the_owner() {
    let mut ledger = empty_ledger();
    for claim_id in (1..500).rev() {
        append(&mut ledger, Kind::CallClaim(claim_record(claim_id, 1, 0).to_wire(&key(), None)));
    }

    let history = ledger.history(&key()).expect("it was claimed");
    assert_eq!(history.owner().map(|owner| owner.claim_id), Some(ClaimId(499)));
    assert!(history.open_claims().len() <= 64);
}
