//! Single decisions of the lease.

use std::time::Duration;

use dragonflycart_core::MonoTime;
use dragonflycart_duties::{
    AppendResult, DutyRecord, DutyState, LeaseChange, LeaseStep, LeaseTime, LogTail, ReportContent,
    StateWrite,
};

use crate::fixtures::{at, claimed_lease, start_lease, step};

/// Guards against a permit that counts from the answer: a slow answer must not prolong it.
#[test]
fn permit_counts_from_the_sending_of_a_renewal() {
    let (mut lease, _) = claimed_lease("a", 1, 10_000);
    let LeaseStep::Append { at: 1, .. } = step(&mut lease, 11_000) else { panic!("a renewal") };

    lease.note_append(AppendResult::Appended { offset: 1 }, at(12_500));

    let permit = lease.permit(at(12_500)).expect("the renewal counts");
    assert_eq!(permit.remaining, Duration::from_millis(1_200));
}

/// Guards against a holder that acts after a suspension, in which its steady clock stood still.
#[test]
fn permit_ends_in_a_suspension() {
    let (lease, _) = claimed_lease("a", 1, 10_000);

    let thawed =
        LeaseTime { steady: MonoTime::from_millis(10_100), boot: MonoTime::from_millis(14_000) };

    assert_eq!(lease.permit(thawed), None);
}

/// Guards against the loss of the lease by a single lost answer: the log tells that the renewal took
/// effect.
#[test]
fn unanswered_renewal_is_confirmed_by_the_log() {
    let (mut lease, _) = claimed_lease("a", 1, 10_000);
    let LeaseStep::Append { record, .. } = step(&mut lease, 11_000) else { panic!("a renewal") };
    lease.note_append(AppendResult::Unknown, at(11_500));

    assert_eq!(step(&mut lease, 12_000), LeaseStep::Read { from: 0 });
    let change = lease.note_read(LogTail { end: 2, last: Some(record) }, at(12_000));

    assert_eq!(change, None);
    let permit = lease.permit(at(12_000)).expect("the renewal counts");
    assert_eq!(permit.remaining, Duration::from_millis(1_700));
}

/// Guards against two contents of one report: a holder that gave up on a renewal takes over the
/// content that the log has, not the one that it wanted to write later.
#[test]
fn content_of_an_unanswered_append_is_taken_from_the_log() {
    let (mut lease, _) = claimed_lease("a", 1, 10_000);
    let decided = |team: &str| DutyState {
        last_window: 7,
        reports: vec![ReportContent {
            window: 7,
            counts: vec![dragonflycart_duties::TeamCount { team: team.to_owned(), count: 1 }],
        }],
        ..DutyState::default()
    };
    let write = |team: &str| Some(StateWrite { state: decided(team), is_due: true });
    let first = lease.next_step(at(10_500), true, write("red"), &DutyState::default());
    let LeaseStep::Append { record, .. } = first else { panic!("an append") };
    lease.note_append(AppendResult::Unknown, at(10_700));
    step(&mut lease, 11_200);
    lease.note_read(LogTail { end: 1, last: None }, at(11_200));
    let second = lease.next_step(at(11_300), true, write("blue"), &DutyState::default());
    assert!(matches!(second, LeaseStep::Append { at: 1, .. }));
    lease.note_append(AppendResult::Unknown, at(11_400));

    step(&mut lease, 12_500);
    lease.note_read(LogTail { end: 2, last: Some(record) }, at(12_500));

    assert_eq!(lease.state(), Some(&decided("red")));
}

/// Guards against a takeover while the holder may still act.
#[test]
fn claim_waits_for_a_quiet_log() {
    let (_, record) = claimed_lease("a", 1, 10_000);
    let mut other = start_lease("b", 2, 9_000);
    step(&mut other, 10_000);
    other.note_read(LogTail { end: 1, last: Some(record) }, at(10_000));

    let early = step(&mut other, 13_200);
    let late = step(&mut other, 13_400);

    assert_eq!(early, LeaseStep::Wait);
    assert!(matches!(late, LeaseStep::Append { at: 1, record } if record.number == 2));
}

/// Guards against reads by VMs that hear the holder: they cost money.
#[test]
fn announcements_replace_reads() {
    let mut lease = start_lease("b", 2, 1_000);

    let mut steps = Vec::new();
    for round in 0..100 {
        lease.note_announcement("a", 1, 1 + round / 4, at(1_100 + round * 250));
        steps.push(step(&mut lease, 1_200 + round * 250));
    }

    assert!(steps.iter().all(|step| *step == LeaseStep::Wait));
    assert_eq!(lease.holder(), Some(("a", 1)));
}

/// Guards against a new holder that decides windows again which its predecessor decided.
#[test]
fn claim_takes_over_the_reports() {
    let usage = DutyState {
        last_window: 9,
        reports: vec![ReportContent::default()],
        ..DutyState::default()
    };
    let record = DutyRecord {
        holder: "a".to_owned(),
        boot: 1,
        sequence: 4,
        number: 1,
        state: Some(usage.clone()),
    };
    let mut lease = start_lease("b", 2, 1_000);
    step(&mut lease, 2_000);
    lease.note_read(LogTail { end: 5, last: Some(record) }, at(2_000));

    let claim = step(&mut lease, 6_000);

    assert!(matches!(claim, LeaseStep::Append { at: 5, record } if record.state == Some(usage)));
}

/// Guards against decisions on windows that may have been reported, after the store lost the last
/// record.
#[test]
fn claim_after_a_deleted_record_begins_with_the_given_state() {
    let unknown = DutyState { last_window: 50, ..DutyState::default() };
    let mut lease = start_lease("b", 2, 1_000);
    step(&mut lease, 2_000);
    lease.note_read(LogTail { end: 5, last: None }, at(2_000));

    let claim = lease.next_step(at(6_000), true, None, &unknown);

    assert!(matches!(claim, LeaseStep::Append { at: 5, record } if record.state == Some(unknown)));
}

/// Guards against a VM that keeps the lease although it is stopping or cut off from the others.
#[test]
fn unwilling_holder_does_not_renew() {
    let (mut lease, _) = claimed_lease("a", 1, 10_000);

    let renewal = lease.next_step(at(11_500), false, None, &DutyState::default());
    let early = lease.resign(at(11_500));
    let late = lease.resign(at(12_800));

    assert_eq!(renewal, LeaseStep::Wait);
    assert_eq!(early, None);
    assert_eq!(late, Some(LeaseChange::Resigned { number: 1 }));
}

/// Guards against a flood of calls to a store that fails.
#[test]
fn failed_reads_are_repeated_at_growing_intervals() {
    let mut lease = start_lease("a", 1, 1_000);

    let mut reads = 0;
    for ms in (2_000..32_000).step_by(20) {
        if step(&mut lease, ms) == LeaseStep::Wait {
            continue;
        }
        reads += 1;
        lease.note_read_failure(at(ms));
    }

    assert!((5..=12).contains(&reads), "reads: {reads}");
}

/// Guards against a flood of calls to a store that answers reads but no appends.
#[test]
fn failed_appends_are_repeated_at_growing_intervals() {
    let mut lease = start_lease("a", 1, 1_000);

    let mut appends = 0;
    for ms in (2_000..62_000).step_by(20) {
        match step(&mut lease, ms) {
            LeaseStep::Wait => {}
            LeaseStep::Read { .. } => {
                lease.note_read(LogTail { end: 0, last: None }, at(ms));
            }
            LeaseStep::Append { .. } => {
                appends += 1;
                lease.note_append(AppendResult::Unknown, at(ms));
            }
        }
    }

    assert!((5..=18).contains(&appends), "appends: {appends}");
}

/// Guards against a holder that continues under a number that it gave up: the counts that the VMs
/// sent it are gone, and the VMs send them again only to a new number.
#[test]
fn late_renewal_does_not_restore_a_lease_that_was_given_up() {
    let (mut lease, _) = claimed_lease("a", 1, 10_000);
    let LeaseStep::Append { record, .. } = step(&mut lease, 11_100) else { panic!("no renewal") };
    lease.note_append(AppendResult::Unknown, at(12_600));
    lease.resign(at(12_800));

    let read = step(&mut lease, 13_400);
    let change = lease.note_read(LogTail { end: 2, last: Some(record) }, at(13_400));
    let early = step(&mut lease, 16_000);
    let claim = step(&mut lease, 19_000);

    assert_eq!(read, LeaseStep::Read { from: 0 });
    assert!(!matches!(change, Some(LeaseChange::Claimed { .. })), "{change:?}");
    assert_eq!(early, LeaseStep::Wait);
    assert!(matches!(claim, LeaseStep::Append { at: 2, record } if record.number == 3));
}
