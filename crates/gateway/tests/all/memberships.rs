//! The table of VMs and the choice of the one that reads the store.

use std::net::SocketAddr;

use dragonflycart_gateway::{PeerReport, PeerTable};

use crate::fixtures::at;

fn address(index: u16) -> SocketAddr {
    format!("10.0.0.{index}:7200").parse().unwrap()
}

fn report(name: &str, boot: u64, sequence: u64) -> PeerReport {
    PeerReport { name: name.to_owned(), boot, sequence, can_read: true, ..PeerReport::default() }
}

fn table() -> PeerTable {
    let mut table = PeerTable::new("vm-b");
    table.note_report(&report("vm-c", 1, 1), address(3), at(0));
    table
}

#[test]
fn first_vm_by_name_reads_the_store() {
    let mut table = table();
    assert_eq!(table.reader(at(100)), None, "this VM is the first");

    table.note_report(&report("vm-a", 1, 1), address(1), at(100));

    assert_eq!(table.reader(at(200)), Some(address(1)));
}

/// A reader that died or is cut off is replaced before its tables are too old.
#[test]
fn silent_reader_is_replaced() {
    let mut table = table();
    table.note_report(&report("vm-a", 1, 1), address(1), at(0));
    table.note_report(&report("vm-c", 1, 2), address(3), at(1_000));

    assert_eq!(table.reader(at(1_500)), None);
}

/// A VM that the store refuses must not read it for others.
#[test]
fn vm_that_the_store_refuses_leaves_reading_to_another() {
    let mut table = table();

    table.note_store_failure(at(50));

    assert_eq!(table.reader(at(100)), Some(address(3)));
    assert!(table.can_read(at(5_000)));
    table.note_store_success();
    assert_eq!(table.reader(at(100)), None);
}

#[test]
fn stopping_vm_does_not_read_for_others() {
    let mut table = PeerTable::new("vm-b");
    let stopping = PeerReport { is_stopping: true, ..report("vm-a", 1, 1) };

    table.note_report(&stopping, address(1), at(0));

    assert_eq!(table.reader(at(100)), None);
}

/// Datagrams overtake each other; an old load must not replace a newer one.
#[test]
fn older_report_is_refused() {
    let mut table = table();

    assert!(table.note_report(&report("vm-c", 1, 5), address(3), at(10)));
    assert!(!table.note_report(&report("vm-c", 1, 4), address(3), at(20)));
    assert!(table.note_report(&report("vm-c", 2, 1), address(3), at(30)), "it was restarted");
}

/// Two VMs that start together may each miss the other's registration; until they meet they
/// place work on the same engines.
#[test]
fn vms_that_missed_each_other_meet_through_a_third() {
    let mut first = PeerTable::new("vm-a");
    let mut third = PeerTable::new("vm-c");
    third.note_report(&report("vm-b", 1, 1), address(2), at(0));

    let mut named = Vec::new();
    for turn in 0..3 {
        named.extend(third.some_running(3, turn, at(10)));
    }
    for entry in named {
        first.note_rumor(&entry.name, entry.address.parse().unwrap());
    }

    assert_eq!(first.recipients(at(20)), vec![address(2)]);
}

/// A rumor may be older than what is known.
#[test]
fn rumor_does_not_replace_a_known_address() {
    let mut table = table();

    table.note_rumor("vm-c", address(9));

    assert_eq!(table.recipients(at(10)), vec![address(3)]);
}

#[test]
fn silent_vm_is_tried_now_and_then_only() {
    let mut table = table();
    assert_eq!(table.recipients(at(10)).len(), 1);

    assert!(table.recipients(at(3_100)).len() == 1, "the first attempt after the silence");
    assert!(table.recipients(at(3_500)).is_empty());
    assert_eq!(table.recipients(at(6_200)).len(), 1);
}
