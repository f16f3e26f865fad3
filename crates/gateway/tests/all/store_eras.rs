//! Copies of the store's tables while the store comes back from older copies.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use dragonflycart_gateway::{
    FleetTable, FleetTables, GatewayContext, StorePosition, TableBatch, TableRecord,
    VersionMovePhase, VersionMoveRecord, VersionMoveSpec, apply_batch, settle_table,
};
use proptest::prelude::*;

use crate::{
    fixtures::{DESK, at, context, position, view},
    stub_store::{EVACUATION, StubStore, table_record},
    tables::table_at,
};

/// Time after which an order that the store lost and nobody wrote again has ended.
const REWRITE_TIME: Duration = Duration::from_secs(6);
/// Time within which the registrations of live servers are back.
const REGISTRATION_TIME: Duration = Duration::from_millis(1_900);

fn batch(era: u64, records: Vec<TableRecord>, next: u64) -> TableBatch {
    TableBatch { era, records, next }
}

/// Reads a table of orders up to `next`, as a snapshot of era `era`.
fn read_orders(context: &GatewayContext, era: u64, records: Vec<TableRecord>, next: u64) -> bool {
    apply_batch(context, FleetTable::Orders, batch(era, records, next), true, Duration::ZERO)
}

/// Applies a batch as it is, with values that are renewals if they are unchanged.
fn apply(tables: &FleetTables, batch: TableBatch, is_snapshot: bool) -> Option<TableBatch> {
    let is_renewal = |before: &Bytes, now: &Bytes| before == now;
    tables.apply(FleetTable::Orders, batch, is_snapshot, Duration::ZERO, is_renewal)
}

fn evacuation(offset: u64) -> TableRecord {
    table_record(offset, EVACUATION, Some(b"out"))
}

/// Guards against orders that are dropped because their offsets are below those of a copy that the
/// store has lost.
#[test]
fn records_at_reused_offsets_replace_those_of_the_era_before() {
    let tables = FleetTables::default();
    apply(&tables, batch(0, vec![table_record(7, "a", Some(b"1"))], 8), true);

    let delta = apply(&tables, batch(1, vec![table_record(3, "a", Some(b"2"))], 4), true);
    let later = apply(&tables, batch(1, vec![table_record(4, "b", Some(b"3"))], 5), false);

    assert_eq!(delta.unwrap().records, vec![table_record(3, "a", Some(b"2"))]);
    assert_eq!(later.unwrap().records, vec![table_record(4, "b", Some(b"3"))]);
    assert_eq!(tables.next(FleetTable::Orders), Some(StorePosition::new(1, 5)));
}

/// Guards against a late answer, or a peer that has not noticed the new era, whose higher offsets
/// replace what was written since.
#[tokio::test(start_paused = true)]
async fn batch_of_an_earlier_era_is_dropped() {
    let tables = FleetTables::default();
    apply(&tables, batch(1, vec![table_record(3, "a", Some(b"2"))], 4), true);
    tokio::time::advance(Duration::from_secs(1)).await;

    let is_snapshot = [false, true];
    let results = is_snapshot.map(|whole| apply(&tables, batch(0, vec![evacuation(9)], 10), whole));

    assert_eq!(results, [None, None]);
    assert_eq!(tables.next(FleetTable::Orders), Some(StorePosition::new(1, 4)));
    assert_eq!(tables.age(FleetTable::Orders), Some(Duration::from_secs(1)), "it looks current");
}

/// Guards against a copy that lacks the records at the beginning of an era: the offsets have passed
/// the known ones before the next read, so that only the era tells of the gap.
#[test]
fn records_of_a_later_era_need_a_snapshot() {
    let tables = FleetTables::default();
    apply(&tables, batch(0, vec![table_record(3, "a", Some(b"1"))], 4), true);

    let delta = apply(&tables, batch(1, vec![table_record(4, "b", Some(b"2"))], 5), false);

    assert_eq!(delta, None);
    assert_eq!(tables.next(FleetTable::Orders), Some(position(4)));
}

/// Guards against a subscriber that gets only what is newer than an offset of another era.
#[test]
fn subscriber_in_another_era_gets_the_whole_table() {
    let tables = FleetTables::default();
    let records = vec![table_record(1, "a", Some(b"1")), table_record(3, "b", Some(b"2"))];
    apply(&tables, batch(1, records.clone(), 4), true);

    for known in [position(3), position(9)] {
        let delta = tables.since(FleetTable::Orders, Some(known)).unwrap();
        assert_eq!(
            (delta.era, delta.records, delta.is_whole),
            (1, records.clone(), true),
            "{known}"
        );
    }
}

/// Guards against VMs that know an order under two positions: one read it in the copy, and the other
/// after it was written again with the same content.
#[tokio::test(start_paused = true)]
async fn record_that_is_written_again_is_news_until_the_era_has_settled() {
    let tables = FleetTables::default();
    apply(&tables, batch(0, vec![table_record(3, "a", Some(b"1"))], 4), true);
    apply(&tables, batch(1, vec![table_record(3, "a", Some(b"1"))], 4), true);

    let again = apply(&tables, batch(1, vec![table_record(4, "a", Some(b"1"))], 5), false);
    tokio::time::advance(REWRITE_TIME).await;
    tables.settle(FleetTable::Orders);
    let later = apply(&tables, batch(1, vec![table_record(5, "a", Some(b"1"))], 6), false);

    assert_eq!(again.unwrap().records, vec![table_record(4, "a", Some(b"1"))]);
    assert_eq!(later.unwrap().records, vec![]);
}

/// Guards against an evacuation that ends because the store has lost it, before the operator could
/// write it again (EVAC), and against one that nobody can end since it is not in the store.
#[tokio::test(start_paused = true)]
async fn lost_evacuation_stays_until_the_operator_had_the_time_to_write_it_again() {
    let context = context(Arc::new(StubStore::default()));
    read_orders(&context, 0, vec![evacuation(5)], 6);

    read_orders(&context, 1, Vec::new(), 4);
    let is_out_at_first = context.view().is_evacuated("a");
    tokio::time::advance(REWRITE_TIME).await;
    read_orders(&context, 1, Vec::new(), 4);
    settle_table(&context, FleetTable::Orders);

    assert!(is_out_at_first, "the evacuation has ended");
    assert!(!context.view().is_evacuated("a"), "the zone is still out");
}

/// Guards against the end of an evacuation that was written again in time.
#[tokio::test(start_paused = true)]
async fn evacuation_that_is_written_again_stays() {
    let context = context(Arc::new(StubStore::default()));
    read_orders(&context, 0, vec![evacuation(5)], 6);
    read_orders(&context, 1, Vec::new(), 4);
    let again = batch(1, vec![evacuation(4)], 5);

    apply_batch(&context, FleetTable::Orders, again, false, Duration::ZERO);
    tokio::time::advance(REWRITE_TIME).await;
    settle_table(&context, FleetTable::Orders);

    assert!(context.view().is_evacuated("a"));
}

/// Guards against live servers that get no requests because the store lost their registrations, and
/// against servers that are used for good although they are gone.
#[tokio::test(start_paused = true)]
async fn lost_registrations_have_the_time_of_the_pages_to_come_back() {
    let context = context(Arc::new(StubStore::default()));
    let servers = |era, records, next| {
        apply_batch(&context, FleetTable::Servers, batch(era, records, next), true, Duration::ZERO)
    };
    let used = || {
        let now = context.clock.now();
        context.view().expire_servers(now);
        let view = context.view();
        view.servers().filter(|(key, _)| !view.is_leaving(*key)).count()
    };
    let registrations =
        vec![table_record(7, "d0", Some(b"new")), table_record(8, "d1", Some(b"new"))];
    servers(0, registrations, 9);

    servers(1, Vec::new(), 2);
    let used_at_first = used();
    servers(1, vec![table_record(2, "d0", Some(b"new"))], 3);
    tokio::time::advance(REGISTRATION_TIME).await;

    assert_eq!((used_at_first, used()), (2, 1));
}

fn desk_order(target: &str) -> VersionMoveSpec {
    VersionMoveSpec {
        service: DESK.to_owned(),
        target: target.to_owned(),
        time_limit: Duration::from_secs(60),
    }
}

/// Guards against a version move that begins anew because its order has another offset since the
/// store came back, in the copy or written again, or both.
#[test]
fn order_that_is_written_again_is_the_same_version_move() {
    let mut view = view(&["a"]);
    view.start_version_move(desk_order("v2"), position(9), at(0), 0);
    view.note_unsettled_era(Some(1));

    for (era, offset) in [(1, 5), (1, 7)] {
        let position = StorePosition::new(era, offset);
        let is_new = view.start_version_move(desk_order("v2"), position, at(9_000), 9_000);
        let version_move = view.version_move(DESK).unwrap();
        assert_eq!((is_new, version_move.order_position()), (false, position));
        assert_eq!(version_move.elapsed(at(9_000)), Duration::from_secs(9));
    }
}

/// Guards against a move to an older version: the copy holds an order that a lost one has replaced.
#[test]
fn older_order_of_the_copy_waits_until_the_newer_one_could_be_written_again() {
    let mut view = view(&["a"]);
    view.start_version_move(desk_order("v2"), position(4), at(0), 0);
    view.start_version_move(desk_order("v3"), position(9), at(1_000), 1_000);
    view.note_unsettled_era(Some(1));

    let older = StorePosition::new(1, 4);
    let is_new_at_first = view.start_version_move(desk_order("v2"), older, at(2_000), 2_000);
    view.note_unsettled_era(None);
    let is_new_later = view.start_version_move(desk_order("v2"), older, at(9_000), 9_000);

    assert!(!is_new_at_first, "the older order is in force");
    assert!(is_new_later, "what the store holds never takes effect");
}

/// Guards against a version move that looks ended in the store to this VM only: the copy lacks its
/// final status, nobody writes it again, and VMs that start decide anew.
#[test]
fn version_move_whose_final_status_was_lost_is_open_until_it_is_written_again() {
    let mut view = view(&["a"]);
    view.start_version_move(desk_order("v2"), position(9), at(0), 0);
    let completed = VersionMoveRecord {
        phase: VersionMovePhase::Completed,
        ..view.version_move(DESK).unwrap().status()
    };
    let order = StorePosition::new(1, 9);
    let lost = VersionMoveRecord { order, phase: VersionMovePhase::Watching, ..completed.clone() };
    let again = VersionMoveRecord { order, ..completed.clone() };
    let mut open_after = Vec::new();

    view.note_version_move_status(&completed, at(10), 10);
    open_after.push(view.services_with_open_move().len());
    view.start_version_move(desk_order("v2"), order, at(20), 20);
    open_after.push(view.services_with_open_move().len());
    view.note_version_move_status(&lost, at(30), 30);
    open_after.push(view.services_with_open_move().len());
    assert!(!view.note_version_move_status(&again, at(40), 40), "the phase changed");
    open_after.push(view.services_with_open_move().len());

    assert_eq!(open_after, [0, 1, 1, 0]);
    assert_eq!(view.version_move(DESK).unwrap().status(), again);
}

/// Guards against a final status that is written again although the copy holds it.
#[test]
fn version_move_whose_final_status_was_read_before_its_order_is_not_open() {
    let mut view = view(&["a"]);
    view.start_version_move(desk_order("v2"), position(9), at(0), 0);
    let completed = VersionMoveRecord {
        phase: VersionMovePhase::Completed,
        ..view.version_move(DESK).unwrap().status()
    };
    view.note_version_move_status(&completed, at(10), 10);
    let order = StorePosition::new(1, 9);

    view.note_version_move_status(&VersionMoveRecord { order, ..completed }, at(20), 20);
    view.start_version_move(desk_order("v2"), order, at(30), 30);

    assert!(view.services_with_open_move().is_empty());
}

/// What may happen to the copies of a table while the store comes back from older copies.
#[derive(Debug, Clone)]
enum EraStep {
    /// A key is written or removed in the store.
    Write { key: u8, value: bool },
    /// The store loses its last records.
    Lose { records: usize },
    /// A VM reads what is new, or the whole table if the store is in another era.
    Read { vm: usize },
    /// A VM gets from a peer what it lacks.
    Forward { from: usize, to: usize },
    /// An answer that was made before the store lost records arrives.
    LateAnswer { vm: usize },
    /// A VM loses its copy.
    Restart { vm: usize },
}

fn era_step() -> impl Strategy<Value = EraStep> {
    let vm = 0_usize..3;
    prop_oneof![
        4 => (0_u8..4, any::<bool>()).prop_map(|(key, value)| EraStep::Write { key, value }),
        1 => (0_usize..5).prop_map(|records| EraStep::Lose { records }),
        3 => vm.clone().prop_map(|vm| EraStep::Read { vm }),
        3 => (vm.clone(), vm.clone()).prop_map(|(from, to)| EraStep::Forward { from, to }),
        1 => vm.clone().prop_map(|vm| EraStep::LateAnswer { vm }),
        1 => vm.prop_map(|vm| EraStep::Restart { vm }),
    ]
}

/// Returns the newest record of each key of a log as a snapshot.
fn snapshot(era: u64, log: &[TableRecord]) -> TableBatch {
    let newest: BTreeMap<_, _> = log.iter().map(|record| (&record.key, record)).collect();
    let held = newest.into_values().filter(|record| record.value.is_some()).cloned();
    batch(era, held.collect(), log.len() as u64)
}

/// Reads a table as a VM does.
fn read(tables: &FleetTables, era: u64, log: &[TableRecord]) {
    match tables.next(FleetTable::Orders) {
        Some(next) if next.era == era => {
            let records = log[next.offset as usize..].to_vec();
            apply(tables, batch(era, records, log.len() as u64), false);
        }
        _ => {
            apply(tables, snapshot(era, log), true);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// However the store comes back from older copies, a VM's copy holds what the store held at some
    /// position, which never decreases, and one read brings it to what the store holds now.
    #[test]
    fn copies_follow_the_store_through_its_eras(steps in prop::collection::vec(era_step(), 1..80)) {
        let mut logs: Vec<Vec<TableRecord>> = vec![Vec::new()];
        let mut vms = [(); 3].map(|()| FleetTables::default());
        let mut known = [None; 3];
        for step in steps {
            let era = logs.len() - 1;
            match step {
                EraStep::Write { key, value } => {
                    let offset = logs[era].len() as u64;
                    let value = value.then_some(b"x".as_slice());
                    logs[era].push(table_record(offset, &key.to_string(), value));
                }
                EraStep::Lose { records } => {
                    let kept = logs[era].len().saturating_sub(records);
                    logs.push(logs[era][..kept].to_vec());
                }
                EraStep::Read { vm } => read(&vms[vm], era as u64, &logs[era]),
                EraStep::Forward { from, to } => {
                    let reached = vms[to].next(FleetTable::Orders);
                    let Some(delta) = vms[from].since(FleetTable::Orders, reached) else { continue };
                    apply(&vms[to], batch(delta.era, delta.records, delta.next), delta.is_whole);
                }
                EraStep::LateAnswer { vm } => {
                    let Some(before) = era.checked_sub(1) else { continue };
                    apply(&vms[vm], snapshot(before as u64, &logs[before]), true);
                }
                EraStep::Restart { vm } => {
                    vms[vm] = FleetTables::default();
                    known[vm] = None;
                }
            }
            for (vm, known) in vms.iter().zip(&mut known) {
                let Some(next) = vm.next(FleetTable::Orders) else { continue };
                prop_assert!(known.is_none_or(|known| known <= next), "{known:?} after {next}");
                *known = Some(next);
                let all = vm.since(FleetTable::Orders, None).unwrap().records;
                let held: BTreeMap<_, _> =
                    all.into_iter().map(|record| (record.key, record.value)).collect();
                prop_assert_eq!(held, table_at(&logs[next.era as usize], next.offset));
            }
        }
        let era = logs.len() - 1;
        for vm in &vms {
            read(vm, era as u64, &logs[era]);
            let end = StorePosition::new(era as u64, logs[era].len() as u64);
            prop_assert_eq!(vm.next(FleetTable::Orders), Some(end));
        }
    }
}
