//! Local copies of the store's tables.

use std::time::Duration;

use bytes::Bytes;
use dragonflycart_gateway::{TableBatch, TableMirror, TableRecord, retry_pause};
use proptest::prelude::*;

fn record(offset: u64, key: &str, value: Option<&'static str>) -> TableRecord {
    TableRecord { offset, key: key.to_owned(), value: value.map(Bytes::from) }
}

fn batch(records: Vec<TableRecord>, next: u64) -> TableBatch {
    TableBatch { records, next }
}

/// Applies records; a record with an unchanged value is a renewal.
fn apply(mirror: &mut TableMirror, batch: TableBatch, is_snapshot: bool) -> TableBatch {
    mirror.apply(batch, is_snapshot, |before, now| before == now)
}

/// A peer may forward records that were already read from the store.
#[test]
fn known_records_are_no_news() {
    let mut mirror = TableMirror::default();
    apply(&mut mirror, batch(vec![record(0, "a", Some("1")), record(1, "a", Some("2"))], 2), false);

    let delta = apply(
        &mut mirror,
        batch(vec![record(1, "a", Some("2")), record(2, "b", Some("3"))], 3),
        false,
    );

    assert_eq!(delta.records, vec![record(2, "b", Some("3"))]);
    assert_eq!(mirror.next(), Some(3));
}

/// A batch from a lagging peer must not revert the mirror.
#[test]
fn older_batch_changes_nothing() {
    let mut mirror = TableMirror::default();
    apply(&mut mirror, batch(vec![record(5, "a", Some("new"))], 6), true);

    let delta = apply(&mut mirror, batch(vec![record(2, "a", Some("old"))], 3), true);

    assert!(delta.records.is_empty());
    assert_eq!(mirror.next(), Some(6));
    assert_eq!(mirror.since(0).records, vec![record(5, "a", Some("new"))]);
}

/// After the store has deleted old records, removals can only be detected by missing keys.
#[test]
fn whole_batch_removes_missing_keys() {
    let mut mirror = TableMirror::default();
    apply(&mut mirror, batch(vec![record(0, "a", Some("1")), record(1, "b", Some("2"))], 2), true);

    let delta = apply(&mut mirror, batch(vec![record(0, "a", Some("1"))], 9), true);

    assert_eq!(delta.records, vec![record(8, "b", None)]);
}

/// A subscriber that has the table up to some offset gets all later records, including removals.
#[test]
fn subscriber_gets_what_came_since() {
    let mut mirror = TableMirror::default();
    apply(&mut mirror, batch(vec![record(0, "a", Some("1")), record(1, "b", Some("2"))], 2), true);
    apply(&mut mirror, batch(vec![record(2, "a", None)], 3), false);

    let since = mirror.since(2);

    assert_eq!(since.records, vec![record(2, "a", None)]);
    assert_eq!(since.next, 3);
}

/// Servers renew their registrations constantly. When renewals were forwarded, they saturated the
/// reader's network link.
#[test]
fn renewals_are_not_passed_on() {
    let mut mirror = TableMirror::default();
    apply(&mut mirror, batch(vec![record(0, "a", Some("1"))], 1), true);

    let delta = apply(&mut mirror, batch(vec![record(1, "a", Some("1"))], 2), false);

    assert!(delta.records.is_empty());
    assert!(mirror.since(1).records.is_empty());
    assert_eq!(mirror.since(0).records, vec![record(1, "a", Some("1"))]);
    assert_eq!(mirror.next(), Some(2));
}

/// A registration that expired and reappeared is a change, although its content is the same.
#[test]
fn registration_that_came_back_is_no_renewal() {
    let mut mirror = TableMirror::default();
    apply(&mut mirror, batch(vec![record(0, "a", Some("1"))], 1), true);
    apply(&mut mirror, batch(vec![record(1, "a", None)], 2), false);

    let delta = apply(&mut mirror, batch(vec![record(2, "a", Some("1"))], 3), false);

    assert_eq!(delta.records, vec![record(2, "a", Some("1"))]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Batches from the store and from peers may arrive late, repeatedly and in any order. The
    /// mirror must end with the newest record of each key in the longest contiguous prefix of the
    /// log that it received.
    #[test]
    fn mirror_holds_the_newest_record_of_each_key(
        keys in prop::collection::vec(0_u8..4, 1..30),
        cuts in prop::collection::vec((0_usize..30, 0_usize..30), 1..20),
    ) {
        let log: Vec<TableRecord> = keys
            .iter()
            .enumerate()
            .map(|(offset, key)| record(offset as u64, &key.to_string(), Some("x")))
            .collect();
        let mut mirror = TableMirror::default();
        for (from, to) in cuts {
            let known = mirror.next().unwrap_or(0) as usize;
            let to = to.min(log.len());
            // A reader never skips records: it starts at or before what it has.
            let from = from.min(known).min(to);
            apply(&mut mirror, batch(log[from..to].to_vec(), to as u64), false);
        }
        let end = mirror.next().unwrap_or(0) as usize;
        for held in mirror.since(0).records {
            let newest = log[..end].iter().rev().find(|record| record.key == held.key);
            prop_assert_eq!(newest, Some(&held));
        }
    }
}

/// Returns the times at which the VMs of a fleet read the store while it fails for ten seconds.
fn reads_of_a_failing_store(vm_count: usize) -> Vec<Duration> {
    let mut reads = Vec::new();
    for vm in 0..vm_count {
        let mut time = Duration::ZERO;
        let mut failures = 0;
        while time < Duration::from_secs(10) {
            reads.push(time);
            // Evenly distributed, and different for each VM and read.
            let random = ((vm * 37 + failures as usize * 61) % 101) as f64 / 101.0;
            time += retry_pause(failures, vm_count, random);
            failures += 1;
        }
    }
    reads.sort();
    reads
}

/// Pattern: the store fails for all VMs of a large fleet. Calls are priced and limited in sum, so
/// after the first one of each VM their rate must not grow with the fleet; yet one of the VMs must
/// notice within a second that the store is available again.
#[test]
fn reads_of_a_failing_store_do_not_grow_with_the_fleet() {
    for vm_count in [200, 400] {
        let reads = reads_of_a_failing_store(vm_count);

        let later = reads.iter().filter(|time| **time > Duration::from_secs(2)).count();
        assert!(later < 8 * 100, "{vm_count} VMs: {later} reads in eight seconds");
        for pair in reads.windows(2) {
            assert!(pair[1] - pair[0] < Duration::from_secs(1), "{vm_count} VMs: {pair:?}");
        }
    }
}

#[test]
fn small_fleet_soon_reads_a_store_that_failed() {
    assert_eq!(retry_pause(0, 9, 0.7), Duration::from_millis(150));
    assert_eq!(retry_pause(9, 9, 0.7), Duration::from_millis(800));
}
