//! Engines that end together for another reason while they begin to answer a common part.

use std::time::Duration;

use dragonflycart_containment::{CrashLedger, PartVerdict};
use dragonflycart_core::{MonoTime, PromptPart};

use crate::fixtures::{BAD, SHARED, SOUND, at, crash, engine, is_refused, tell};

/// Time of the first end.
const END_MS: u64 = 1_000;
/// Time from the common end after which sound requests must be sent again.
const RECOVERY_TIME: Duration = Duration::from_secs(1);
/// Time after which at most three more requests may crash engines.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time from the last crash to the first trial of a part that is known to crash engines.
const FIRST_HOLD_TIME: Duration = Duration::from_secs(10);

/// VMs that may try a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrialVms {
    All,
    Only(usize),
}

/// Ends engines within 20 ms, each of which has just begun a prompt with these parts.
fn end_together(ledger: &mut CrashLedger, engines: u64, parts: &[PromptPart]) {
    for number in 0..engines {
        crash(ledger, number, parts, at(END_MS + number * 5));
    }
}

/// Builds a ledger in which five engines have ended together that had just begun a part which was
/// sound before.
fn ledger_after_common_end(part: PromptPart) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    ledger.note_sound(&[part], at(0));
    end_together(&mut ledger, 5, &[part]);
    ledger
}

/// Begins the trial of a part if it is due. Returns which VMs may try it.
fn begin_trial(ledger: &mut CrashLedger, parts: &[PromptPart], now: MonoTime) -> Option<TrialVms> {
    match ledger.check(parts, None, now) {
        PartVerdict::TrialDue { part, round } if ledger.begin_trial(part.part, round) => {
            Some(part.trial_vms.map_or(TrialVms::All, TrialVms::Only))
        }
        _ => None,
    }
}

/// Pattern: a zone loses its engines, or many are killed, while they begin a part that all requests
/// of a route share. Guards against refusing the part for ten seconds.
#[test]
fn sound_part_of_engines_that_end_together_is_tried_at_once_on_each_vm() {
    let mut ledger = ledger_after_common_end(SOUND);
    let due = at(END_MS) + RECOVERY_TIME;

    let first = begin_trial(&mut ledger, &[SOUND], due);
    let second = begin_trial(&mut ledger, &[SOUND], due);
    ledger.note_sound(&[SOUND], due + Duration::from_millis(100));

    assert_eq!(first, Some(TrialVms::All));
    assert_eq!(second, None, "one request of a VM at a time");
    let verdict = ledger.check(&[SOUND], None, due + Duration::from_millis(100));
    assert_eq!(verdict, PartVerdict::Allowed);
}

/// Pattern: the same with a part that came up a moment before. An engine that ends at the same time
/// without the part shows that there is another reason.
#[test]
fn new_part_of_engines_that_end_together_with_others_is_tried_at_once() {
    let mut ledger = CrashLedger::default();
    end_together(&mut ledger, 3, &[SHARED, SOUND]);
    let due = at(END_MS) + RECOVERY_TIME;
    let alone = begin_trial(&mut ledger, &[SHARED, SOUND], due);

    ledger.note_engine_end(engine(9), at(END_MS + 100));
    let with_others = begin_trial(&mut ledger, &[SHARED, SOUND], due);

    assert_eq!(alone, None, "the part explains all ends");
    assert_eq!(with_others, Some(TrialVms::All));
}

/// Guards against taking engines that ended before or after the crashes for a common end.
#[test]
fn engine_that_ends_at_another_time_speaks_for_no_common_end() {
    let mut ledger = CrashLedger::default();
    ledger.note_engine_end(engine(8), at(0));
    end_together(&mut ledger, 3, &[SOUND]);
    ledger.note_engine_end(engine(9), at(END_MS + 1_000));

    assert!(is_refused(&ledger, &[SOUND], at(END_MS + 1_000) + RECOVERY_TIME));
}

/// Guards against taking an engine that crashed on another contained part for a common end.
#[test]
fn crash_on_another_contained_part_speaks_for_no_common_end() {
    let mut ledger = CrashLedger::default();
    end_together(&mut ledger, 3, &[SHARED, BAD]);
    for number in 10..13 {
        crash(&mut ledger, number, &[SHARED, SOUND], at(END_MS + number));
    }
    ledger.note_sound(&[SHARED], at(END_MS + 100));

    assert!(is_refused(&ledger, &[BAD], at(END_MS) + RECOVERY_TIME));
    assert!(is_refused(&ledger, &[SOUND], at(END_MS) + RECOVERY_TIME));
}

/// Guards against trials of a part that goes on crashing engines: a crash after the others does not
/// belong to a common end (BUDGET).
#[test]
fn crash_after_the_common_end_contains_the_part() {
    let mut ledger = ledger_after_common_end(BAD);
    let due = at(END_MS) + RECOVERY_TIME;

    let trial = begin_trial(&mut ledger, &[BAD], due);
    let crashed = due + Duration::from_millis(100);
    crash(&mut ledger, 5, &[BAD], crashed);
    let is_held = is_refused(&ledger, &[BAD], crashed)
        && is_refused(&ledger, &[BAD], crashed + FIRST_HOLD_TIME - Duration::from_millis(1));
    let next_trial = begin_trial(&mut ledger, &[BAD], crashed + FIRST_HOLD_TIME);

    assert_eq!(trial, Some(TrialVms::All));
    assert!(is_held);
    assert_eq!(next_trial, Some(TrialVms::Only(1)), "the VM that tried it before has its turn");
}

/// Guards against more than three requests that reach engines later than the contact time after
/// the fifth crash (BUDGET): two VMs may try the part then, and another one after the hold time.
#[test]
fn at_most_three_trials_follow_the_contact_time() {
    let mut ledger = ledger_after_common_end(BAD);
    let late = at(END_MS) + CONTACT_TIME;

    let first = begin_trial(&mut ledger, &[BAD], late);
    let second = begin_trial(&mut ledger, &[BAD], late + Duration::from_secs(2));
    let crashed = late + Duration::from_secs(2);
    crash(&mut ledger, 5, &[BAD], crashed);
    crash(&mut ledger, 6, &[BAD], crashed);
    let last = begin_trial(&mut ledger, &[BAD], crashed + FIRST_HOLD_TIME);
    crash(&mut ledger, 7, &[BAD], crashed + FIRST_HOLD_TIME);

    assert_eq!(first, Some(TrialVms::Only(2)));
    assert_eq!(second, None, "one request of a VM in the round");
    assert_eq!(last, Some(TrialVms::Only(1)));
    assert!(is_refused(&ledger, &[BAD], crashed + FIRST_HOLD_TIME + Duration::from_secs(299)));
}

/// Guards against a VM that goes on refusing what another VM has found to be sound.
#[test]
fn result_of_a_trial_clears_the_part_on_all_vms() {
    let mut first = ledger_after_common_end(SOUND);
    let mut second = CrashLedger::default();
    tell(&first, &mut second, at(END_MS + 100));
    let due = at(END_MS) + RECOVERY_TIME;
    let trial = begin_trial(&mut second, &[SOUND], due);

    first.note_sound(&[SOUND], due);
    tell(&first, &mut second, due + Duration::from_millis(50));

    assert_eq!(trial, Some(TrialVms::All), "a VM that was only told decides alike");
    assert!(!second.is_contained(SOUND));
}
