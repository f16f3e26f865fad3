//! Changes that are logged.

use std::time::Duration;

use dragonflycart_capacity::{CapacityChange, CapacityTable, HeaderFault, LoadHeader, PauseSample};
use dragonflycart_core::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + millis)
}

/// Pattern: a server's header turns to nonsense and recovers. An operator needs one line for each,
/// whatever the number of responses.
#[test]
fn unusable_header_is_logged_when_it_begins_and_when_it_ends() {
    let mut table = CapacityTable::default();
    let mut changes = Vec::new();
    for step in 0..300 {
        let text = if (100..200).contains(&step) { "8,x,24,100" } else { "8,0,24,100" };
        table.note_header(1, LoadHeader::parse(text), at(200 * step));
        changes.extend(table.take_changes().into_iter().map(|(_, change)| change));
    }

    let fault = HeaderFault::NotANumber;
    assert_eq!(changes, [CapacityChange::HeaderUnusable { fault }, CapacityChange::HeaderUsable]);
    assert_eq!(table.take_counts().unusable_headers, 100);
}

/// Pattern: the header is gone in the middle.
#[test]
fn header_that_is_gone_is_logged_once() {
    let mut table = CapacityTable::default();
    table.note_header(1, LoadHeader::parse("8,0,24,250"), at(0));
    for step in 1..100 {
        table.note_header(1, Err(HeaderFault::Absent), at(100 * step));
    }

    let fault = HeaderFault::Absent;
    assert_eq!(table.take_changes(), [(1, CapacityChange::HeaderUnusable { fault })]);
    assert_eq!(table.pace(1, at(400)), 1.0, "the last pace expired");
    assert!(table.is_in_effect(), "the servers are judged by results alone");
}

/// Pattern: a service that never sends the header. That is no fault.
#[test]
fn service_without_the_header_is_not_logged() {
    let mut table = CapacityTable::default();
    for step in 0..100 {
        table.note_header(1, Err(HeaderFault::Absent), at(100 * step));
    }

    assert_eq!(table.take_changes(), []);
    assert!(!table.is_in_effect());
}

/// Pattern: a server whose header is false in every other response must not fill the log.
#[test]
fn header_that_alternates_is_logged_at_a_bounded_rate() {
    let mut table = CapacityTable::default();
    let mut lines = 0;
    for step in 0..6_000 {
        let text = if step / 5 % 2 == 0 { "8,0,24,100" } else { "8,0,24,nan" };
        table.note_header(1, LoadHeader::parse(text), at(10 * step));
        lines += table.take_changes().len();
    }

    assert!((1..=7).contains(&lines), "{lines} lines in 60 s");
}

/// Pattern: 200 servers get slow at once, and jump back. The volume of the log stays bounded.
#[test]
fn changes_of_speed_are_logged_at_a_bounded_rate() {
    let mut table = CapacityTable::default();
    let mut lines = 0;
    for step in 0..240 {
        let now = at(250 * step);
        for server in 0..400 {
            let is_slow = server < 150 && step / 40 % 2 == 1;
            let usual = Duration::from_millis(if is_slow { 96 } else { 32 });
            table.note_pause(server, PauseSample { usual, heavy: usual }, 8, now);
        }
        lines += table.take_changes().len();
    }

    assert!((1..=120).contains(&lines), "{lines} lines in 60 s");
}
