//! Membership: guards against two VMs with one ordinal and against wrong conclusions after a pause.

use std::time::Duration;

use dragonflycart_core::{Incarnation, PlanRevision, VmOrdinal};
use dragonflycart_state::{MemberState, MemberTable, incarnation_to_wire};
use dragonflycart_wire::{Heartbeat, Hello};

use crate::support::millis;

const OWN: Incarnation = Incarnation(10);

fn hello(incarnation: u128, ordinal: u32) -> Hello {
    Hello {
        incarnation: incarnation_to_wire(Incarnation(incarnation)),
        ordinal,
        zone: "zone".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        protocol: 1,
    }
}

fn heartbeat(plan_revision: u64) -> Heartbeat {
    Heartbeat { plan_revision, ..Heartbeat::default() }
}

fn table() -> MemberTable {
    MemberTable::new(OWN, "zone", VmOrdinal(1), millis(0))
}

fn refresh_until(table: &mut MemberTable, from: u64, to: u64) {
    for at in (from..=to).step_by(500) {
        assert_eq!(table.refresh(millis(at)), None);
    }
}

/// Guards against a VM that stays in use after its heartbeats stopped.
#[test]
fn unresponsive_member_becomes_suspect_and_then_gone() {
    let mut table = table();
    table.hello(&hello(20, 2), millis(0));
    refresh_until(&mut table, 500, 2_500);
    assert_eq!(table.state(Incarnation(20)), MemberState::Alive);

    refresh_until(&mut table, 3_000, 3_000);
    assert_eq!(table.state(Incarnation(20)), MemberState::Suspect);
    refresh_until(&mut table, 3_500, 10_000);

    assert_eq!(table.state(Incarnation(20)), MemberState::Gone);
    assert_eq!(table.alive().count(), 0);
}

/// Guards against a VM that treats all others as failed when it continues after a pause.
#[test]
fn pause_is_reported_and_not_held_against_others() {
    let mut table = table();
    table.hello(&hello(20, 2), millis(0));

    let pause = table.refresh(millis(60_000));

    assert_eq!(pause, Some(Duration::from_secs(60)));
    assert_eq!(table.state(Incarnation(20)), MemberState::Alive);
    refresh_until(&mut table, 60_500, 63_000);
    assert_eq!(table.state(Incarnation(20)), MemberState::Suspect);
}

/// Guards against a replaced VM that uses the cold-start slots of its ordinal, even after its
/// replacement has stopped sending.
#[test]
fn newer_incarnation_takes_the_ordinal_for_good() {
    let mut table = table();
    table.hello(&hello(9, 1), millis(0));
    assert!(!table.ordinal_is_lost(), "the other one is older");

    table.hello(&hello(11, 1), millis(0));
    refresh_until(&mut table, 500, 130_000);

    assert!(table.ordinal_is_lost());
    assert_eq!(table.lowest_ordinal("zone"), None);
}

/// Guards against a replaced peer that still counts as alive.
#[test]
fn older_incarnation_of_an_ordinal_is_gone() {
    let mut table = table();
    table.hello(&hello(21, 0), millis(0));
    table.hello(&hello(20, 0), millis(0));
    table.heartbeat(Incarnation(20), &heartbeat(9), millis(0));
    table.heartbeat(Incarnation(21), &heartbeat(4), millis(0));
    table.heartbeat(Incarnation(21), &heartbeat(3), millis(0));

    assert_eq!(table.state(Incarnation(20)), MemberState::Gone);
    assert_eq!(table.lowest_ordinal("zone"), Some(VmOrdinal(0)));
    let newest = table.newest_plan(PlanRevision(2)).expect("a peer has a newer plan");
    assert_eq!((newest.incarnation, newest.plan_revision), (Incarnation(21), PlanRevision(4)));
    assert!(table.newest_plan(PlanRevision(4)).is_none());
}

/// Guards against memory that grows with each restart of a VM.
#[test]
fn members_are_bounded() {
    let mut table = table();
    for number in 0..2_000 {
        table.hello(&hello(number + 100, number as u32), millis(0));
    }

    assert!(table.alive().count() <= 1_024);
}
