//! Local copies of the store's tables.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use dragonflycart_gateway::{TableBatch, TableDelta, TableMirror, TableRecord, retry_pause};
use proptest::prelude::*;

fn record(offset: u64, key: &str, value: Option<&'static str>) -> TableRecord {
    TableRecord { offset, key: key.to_owned(), value: value.map(Bytes::from) }
}

fn batch(records: Vec<TableRecord>, next: u64) -> TableBatch {
    TableBatch { era: 0, records, next }
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

/// Guards against a server that is missing at a VM: its registration was removed and written again
/// with the same content, and the VM learned of the removal from the store and of the rest through
/// two peers, of which the second one saw a renewal only.
#[test]
fn key_that_was_written_again_is_forwarded_by_a_vm_that_missed_its_removal() {
    let log = [record(0, "a", Some("1")), record(1, "a", None), record(2, "a", Some("1"))];
    let (mut reader, mut relay) = (TableMirror::default(), TableMirror::default());
    let mut subscriber = TableMirror::default();
    apply(&mut reader, batch(log[..1].to_vec(), 1), true);
    apply_delta(&mut relay, reader.all());
    apply(&mut subscriber, batch(Vec::new(), 2), true);
    apply(&mut reader, batch(log[1..].to_vec(), 3), false);

    apply_delta(&mut relay, reader.since(1));
    apply_delta(&mut subscriber, relay.since(2));

    assert_eq!(subscriber.all().records, vec![record(2, "a", Some("1"))]);
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

/// Applies what a peer forwards, as a subscriber does.
fn apply_delta(mirror: &mut TableMirror, delta: TableDelta) -> TableBatch {
    let TableDelta { records, next, is_whole, .. } = delta;
    apply(mirror, batch(records, next), is_whole)
}

/// Guards against a server that stays in use at a VM: its registration was removed before the peer
/// that forwards the table started, so that the peer knows nothing of it (DRAIN).
#[test]
fn peer_that_started_after_a_removal_forwards_it() {
    let mut subscriber = TableMirror::default();
    let both = vec![record(0, "a", Some("1")), record(1, "b", Some("2"))];
    apply(&mut subscriber, batch(both, 2), true);
    let mut restarted = TableMirror::default();
    apply(&mut restarted, batch(vec![record(0, "a", Some("1"))], 3), true);

    let delta = apply_delta(&mut subscriber, restarted.since(2));

    assert_eq!(delta.records, vec![record(2, "b", None)]);
}

/// Guards against the same when the peer read a whole table after it had lost the store: a key that
/// was added and removed in between is in none of its records.
#[test]
fn peer_that_missed_records_forwards_their_removals() {
    let mut peer = TableMirror::default();
    apply(&mut peer, batch(vec![record(0, "a", Some("1"))], 1), true);
    let mut subscriber = peer.clone();
    apply(&mut subscriber, batch(vec![record(1, "b", Some("2"))], 2), false);

    apply(&mut peer, batch(vec![record(0, "a", Some("1"))], 3), true);
    let delta = apply_delta(&mut subscriber, peer.since(2));

    assert_eq!(delta.records, vec![record(2, "b", None)]);
}

/// Guards against the same when the peer has dropped its oldest tombstones.
#[test]
fn peer_that_dropped_tombstones_forwards_the_removals() {
    const KEYS: u64 = 600;
    let mut peer = TableMirror::default();
    let all = (0..KEYS).map(|key| record(key, &format!("s{key}"), Some("1"))).collect();
    apply(&mut peer, batch(all, KEYS), true);
    let mut subscriber = peer.clone();
    for key in 0..KEYS {
        let removed = record(KEYS + key, &format!("s{key}"), None);
        apply(&mut peer, batch(vec![removed], KEYS + key + 1), false);
    }

    let delta = apply_delta(&mut subscriber, peer.since(KEYS));

    assert_eq!(delta.records.len(), KEYS as usize);
    assert!(subscriber.all().records.is_empty());
}

/// A subscriber that lags little gets no whole table.
#[test]
fn subscriber_that_knows_the_snapshot_gets_only_changes() {
    let mut peer = TableMirror::default();
    apply(&mut peer, batch(vec![record(0, "a", Some("1"))], 1), true);
    apply(&mut peer, batch(vec![record(1, "b", Some("2"))], 2), false);

    let delta = peer.since(1);

    assert!(!delta.is_whole);
    assert_eq!(delta.records, vec![record(1, "b", Some("2"))]);
}

/// What may happen to the copies of a table that three VMs have.
#[derive(Debug, Clone)]
enum TableStep {
    /// A key is written or removed in the store.
    Write { key: u8, value: Option<bool> },
    /// A VM reads what is new.
    Read { vm: usize },
    /// A VM reads the whole table, for example because the store has dropped old records.
    ReadWhole { vm: usize },
    /// A VM gets from a peer what it lacks.
    Forward { from: usize, to: usize },
    /// A VM loses its copy.
    Restart { vm: usize },
}

fn table_step() -> impl Strategy<Value = TableStep> {
    let vm = 0_usize..3;
    prop_oneof![
        4 => (0_u8..4, any::<Option<bool>>())
            .prop_map(|(key, value)| TableStep::Write { key, value }),
        2 => vm.clone().prop_map(|vm| TableStep::Read { vm }),
        1 => vm.clone().prop_map(|vm| TableStep::ReadWhole { vm }),
        4 => (vm.clone(), vm.clone()).prop_map(|(from, to)| TableStep::Forward { from, to }),
        1 => vm.prop_map(|vm| TableStep::Restart { vm }),
    ]
}

/// Returns the records of a table at an offset, without removed keys.
pub(crate) fn table_at(log: &[TableRecord], end: u64) -> BTreeMap<String, Option<Bytes>> {
    let mut table = BTreeMap::new();
    for record in &log[..end as usize] {
        table.insert(record.key.clone(), record.value.clone());
    }
    table.retain(|_, value| value.is_some());
    table
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// However VMs read, forward and lose copies of a table, a copy holds what the store held at
    /// some offset, which never decreases: no removed key stays, and no written one is missing.
    #[test]
    fn copies_hold_what_the_store_held(steps in prop::collection::vec(table_step(), 1..60)) {
        let mut log: Vec<TableRecord> = Vec::new();
        let mut vms = vec![TableMirror::default(); 3];
        for step in steps {
            let end = log.len() as u64;
            match step {
                TableStep::Write { key, value } => {
                    let value = value.map(|value| if value { "x" } else { "y" });
                    log.push(record(end, &key.to_string(), value));
                }
                TableStep::Read { vm } => {
                    let Some(from) = vms[vm].next() else { continue };
                    apply(&mut vms[vm], batch(log[from as usize..].to_vec(), end), false);
                }
                TableStep::ReadWhole { vm } => {
                    let mut newest: BTreeMap<_, _> = Default::default();
                    newest.extend(log.iter().map(|record| (record.key.clone(), record.clone())));
                    newest.retain(|_, record| record.value.is_some());
                    apply(&mut vms[vm], batch(newest.into_values().collect(), end), true);
                }
                TableStep::Forward { from, to } => {
                    if vms[from].next().is_none() {
                        continue;
                    }
                    let delta = match vms[to].next() {
                        None => vms[from].all(),
                        Some(known) => vms[from].since(known),
                    };
                    apply_delta(&mut vms[to], delta);
                }
                TableStep::Restart { vm } => vms[vm] = TableMirror::default(),
            }
            for vm in &vms {
                let Some(next) = vm.next() else { continue };
                let held: BTreeMap<_, _> =
                    vm.all().records.into_iter().map(|record| (record.key, record.value)).collect();
                prop_assert_eq!(held, table_at(&log, next));
            }
        }
    }

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
