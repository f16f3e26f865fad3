//! Single faults of the plan log that the random runs reach too rarely or can't express.

use std::time::Duration;

use dragonflycart_core::{LogOffset, PlanRevision};
use dragonflycart_state::{PlanDecision, PlanLog};
use dragonflycart_wire::{
    LogEntry, PlanCopy, PlanProposal, PlanSnapshot, RecordBatch, log_entry::Kind,
};

use crate::support::{batch_of, body_of, hour};

fn proposal(base_revision: u64, name: &str) -> Kind {
    Kind::PlanProposal(PlanProposal {
        base_revision,
        submit_id: name.to_owned(),
        author: format!("author of {name}"),
        body: body_of(name),
        submitted_at_ms: 0,
    })
}

fn snapshot(revision: u64, as_of_offset: u64) -> Kind {
    Kind::PlanSnapshot(PlanSnapshot {
        revision,
        as_of_offset,
        body: body_of("snapshot"),
        made_at_ms: hour(1).as_unix_millis(),
        ..PlanSnapshot::default()
    })
}

fn apply(log: &mut PlanLog, offset: u64, kind: Kind) {
    log.apply_batch(LogOffset(offset), &batch_of(1, offset, kind));
}

/// Guards against a snapshot that was taken before the first readable record: proposals between
/// the two are gone, so later ones must not be decided on it.
#[test]
fn snapshot_from_before_the_first_record_is_no_base() {
    let mut log = PlanLog::new(LogOffset(10));

    apply(&mut log, 10, snapshot(3, 8));
    apply(&mut log, 11, proposal(3, "late"));

    assert_eq!(log.revision(), PlanRevision(3));
    assert!(!log.is_authoritative());
    assert_eq!(log.decision("late"), PlanDecision::NotKnown);
}

/// Guards against losing proposals that are read before the snapshot which covers them, also when
/// they share an append with it.
#[test]
fn buffered_proposals_after_the_snapshot_are_applied() {
    let mut log = PlanLog::new(LogOffset(10));

    apply(&mut log, 10, proposal(2, "included"));
    apply(&mut log, 11, proposal(3, "next"));
    let entries = [snapshot(3, 11), proposal(4, "same append")];
    let entries = entries.map(|kind| LogEntry { kind: Some(kind) }).to_vec();
    log.apply_batch(LogOffset(12), &RecordBatch { entries, ..RecordBatch::default() });

    assert!(log.is_authoritative());
    assert_eq!(log.decision("next"), PlanDecision::Accepted { revision: PlanRevision(4) });
    assert_eq!(log.decision("same append"), PlanDecision::Accepted { revision: PlanRevision(5) });
}

/// Guards against an accepted plan that is reported as rejected, because its record is read again
/// on top of a base that includes it.
#[test]
fn proposals_before_the_base_are_not_decided_again() {
    let mut log = PlanLog::new(LogOffset(10));
    apply(&mut log, 10, proposal(2, "read before the base"));
    let copy = PlanCopy { revision: 9, as_of_offset: 12, ..PlanCopy::default() };
    assert!(log.adopt_copy(&copy));

    apply(&mut log, 11, proposal(3, "read after the base"));
    apply(&mut log, 12, proposal(9, "next"));

    assert_eq!(log.decision("read before the base"), PlanDecision::NotKnown);
    assert_eq!(log.decision("read after the base"), PlanDecision::NotKnown);
    assert_eq!(log.decision("next"), PlanDecision::Accepted { revision: PlanRevision(10) });
}

/// Guards against a report that does not name who won.
#[test]
fn rejected_proposal_names_the_winner() {
    let mut log = PlanLog::new(LogOffset(0));

    apply(&mut log, 0, proposal(0, "first"));
    apply(&mut log, 1, proposal(0, "second"));

    let revision = PlanRevision(1);
    assert_eq!(log.decision("first"), PlanDecision::Accepted { revision });
    let winner = "author of first".to_owned();
    assert_eq!(log.decision("second"), PlanDecision::Rejected { winner, revision });
    assert_eq!(log.decision("third"), PlanDecision::NotKnown);
}

/// Guards against a base that does not exist yet: a repeated append of it could be accepted later
/// by some readers only.
#[test]
fn base_that_was_never_in_force_is_refused() {
    let mut log = PlanLog::new(LogOffset(0));
    apply(&mut log, 0, proposal(0, "first"));

    assert!(log.accepts_base(PlanRevision(1)));
    assert!(!log.accepts_base(PlanRevision(2)));
}

/// Guards against repeated submissions that push other decisions out.
#[test]
fn repeated_submissions_have_no_second_decision() {
    let mut log = PlanLog::new(LogOffset(0));
    apply(&mut log, 0, proposal(0, "first"));
    apply(&mut log, 1, proposal(0, "second"));

    for offset in 2..200 {
        apply(&mut log, offset, proposal(0, "second"));
    }

    assert_eq!(log.decision("first"), PlanDecision::Accepted { revision: PlanRevision(1) });
}

/// Guards against an accepted plan that is reported as rejected, because a copy of its append lands
/// after its decision was forgotten.
#[test]
fn late_copy_of_a_forgotten_proposal_is_not_rejected() {
    let mut log = PlanLog::new(LogOffset(0));
    for offset in 0..100 {
        apply(&mut log, offset, proposal(offset, &format!("proposal {offset}")));
    }

    apply(&mut log, 100, proposal(0, "proposal 0"));

    assert_eq!(log.decision("proposal 0"), PlanDecision::NotKnown);
    assert_eq!(log.revision(), PlanRevision(100));
}

/// Guards against a proposal that is appended although it can only lose.
#[test]
fn submission_on_an_old_base_is_rejected_at_once() {
    let mut log = PlanLog::new(LogOffset(0));
    apply(&mut log, 0, proposal(0, "first"));

    let revision = PlanRevision(1);
    let winner = "author of first".to_owned();
    let rejected = PlanDecision::Rejected { winner, revision };
    assert_eq!(log.prejudge("second", PlanRevision(0)), rejected);
    assert_eq!(log.prejudge("first", PlanRevision(0)), PlanDecision::Accepted { revision });
    assert_eq!(log.prejudge("third", revision), PlanDecision::NotKnown);
}

/// Guards against a plan that is lost because no snapshot is written in time, and against a
/// snapshot that counts as fresh because it landed late.
#[test]
fn snapshot_is_due_at_half_the_retention_of_its_content() {
    let retention = Duration::from_secs(24 * 3_600);
    let mut log = PlanLog::new(LogOffset(0));
    assert!(log.due_snapshot(hour(1), retention).is_none());
    apply(&mut log, 0, proposal(0, "first"));

    let first = log.due_snapshot(hour(1), retention).expect("none was written");
    apply(&mut log, 1, Kind::PlanSnapshot(first));

    assert!(log.due_snapshot(hour(12), retention).is_none());
    assert!(log.due_snapshot(hour(13), retention).is_some());
}

/// Guards against unbounded memory while the base is missing: dropped proposals move the start
/// that a base has to cover.
#[test]
fn full_buffer_asks_for_a_later_base() {
    let mut log = PlanLog::new(LogOffset(10));
    for offset in 10..300 {
        apply(&mut log, offset, proposal(offset, &format!("proposal {offset}")));
    }

    apply(&mut log, 300, snapshot(20, 20));
    assert!(!log.is_authoritative());
    apply(&mut log, 301, snapshot(299, 299));

    assert!(log.is_authoritative());
    assert_eq!(log.revision(), PlanRevision(300));
}
