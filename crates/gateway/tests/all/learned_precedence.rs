//! Rules that take precedence over learned capacity, and failures of its inputs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dragonflycart_capacity::{CapacityChange, HeaderFault, PauseSample, PeerSample, RunningLoad};
use dragonflycart_containment::EngineRun;
use dragonflycart_core::{ErrorKind, PromptPart};
use dragonflycart_gateway::{
    FleetOrder, FleetView, PeerReport, PlacementQuery, RouteKind, RunEnd, ServerRecord,
    StreamForwarder, VersionMoveSpec, apply_speeds, speed_entries,
};

use crate::{
    fixtures::{
        ENGINES, at, caller_request, context, key_of, position, query, record, report, route, view,
    },
    stub_store::StubStore,
};

/// Time at which the views of these tests have learned the speeds.
const LEARNED_MS: u64 = 12_000;

fn millis(time_ms: f64) -> Duration {
    Duration::from_secs_f64(time_ms / 1_000.0)
}

/// Lets the servers write streams from `from_ms` for 12 seconds, the ones in `slow` with 2.2 times
/// the usual times.
fn teach(view: &mut FleetView, slow: &[&str], from_ms: u64) {
    let servers: Vec<_> = view.servers().map(|(key, state)| (key, state.id.clone())).collect();
    for half in 0..24 {
        let now = at(from_ms + 500 * half);
        for (key, id) in &servers {
            let factor = if slow.contains(&id.as_str()) { 2.2 } else { 1.0 };
            view.note_load_header(*key, Some("8,0,24,100"), now);
            let run = view.start_run(*key, "reports", now - millis(400.0 * factor));
            view.note_run_load(run, RunningLoad { requests: 8, unread_tokens: 3_000 });
            view.note_run_started(run, now);
            let (usual, heavy) = (millis(32.0 * factor), millis(62.0 * factor));
            view.note_run_pauses(run, PauseSample { usual, heavy }, now);
            view.end_run(run, RunEnd::Good, now);
        }
    }
}

fn taught(zones: &[&str], slow: &[&str]) -> FleetView {
    let mut view = view(zones);
    teach(&mut view, slow, 0);
    view
}

fn speed(view: &FleetView, id: &str, now_ms: u64) -> f64 {
    view.capacity(ENGINES).unwrap().speed(key_of(view, id), at(now_ms))
}

/// Pattern: a version move to a version that is slower. If fewer requests went to it, it would be
/// judged late; the share is drawn before the speeds count.
#[test]
fn slow_version_gets_its_share_of_a_version_move() {
    let counts = |slow: &[&str]| {
        let mut view = view(&["a", "a", "a"]);
        let new = ServerRecord { version: "v2".to_owned(), ..record(ENGINES, "a", 8_050) };
        view.apply_server("n0", new, position(50), at(0));
        teach(&mut view, slow, 0);
        let time_limit = Duration::from_secs(40);
        let order =
            VersionMoveSpec { service: ENGINES.to_owned(), target: "v2".to_owned(), time_limit };
        view.start_version_move(order, position(5), at(LEARNED_MS), LEARNED_MS);
        view.note_statuses_read();
        let mut counts = BTreeMap::<bool, usize>::new();
        for index in 0..200 {
            let excluded = BTreeSet::new();
            let now = at(LEARNED_MS + index);
            let placement = view.place(&query(report(), &excluded), now).unwrap();
            view.release(placement.server, placement.load);
            *counts.entry(placement.id == "n0").or_default() += 1;
        }
        counts
    };

    let (equal, slow) = (counts(&[]), counts(&["n0"]));

    assert!(equal[&true] > 0, "{equal:?}");
    assert_eq!(slow, equal);
}

/// Pattern: a cold engine is fast by what is learned. Its limit holds whatever the speed.
#[test]
fn cold_limit_holds_for_the_fastest_engine() {
    let mut view = taught(&["a", "a", "a", "a"], &["e1", "e2", "e3"]);
    let key = key_of(&view, "e0");
    let state = view.server_mut(key).unwrap();
    state.cold_until = at(LEARNED_MS + 60_000);
    let excluded = BTreeSet::new();

    let mut cold = 0;
    for index in 0..1_000 {
        let now = at(LEARNED_MS + index);
        let placement = view.place(&query(report(), &excluded), now).unwrap();
        view.release(placement.server, placement.load);
        cold += usize::from(placement.id == "e0");
    }

    assert!((1..=39).contains(&cold), "38 per second are allowed: {cold}");
}

/// Pattern: the zone of the fast engines is evacuated.
#[test]
fn evacuated_zone_gets_nothing_although_its_engines_are_fast() {
    let mut view = taught(&["a", "b", "b", "b"], &["e0"]);
    view.apply_order(FleetOrder::EvacuateZone { zone: "b".to_owned() }, at(LEARNED_MS));
    let excluded = BTreeSet::new();

    for index in 0..5 {
        let placement = view.place(&query(report(), &excluded), at(LEARNED_MS + index)).unwrap();
        assert_eq!(placement.id, "e0");
    }
}

/// Pattern: the fast engines leave.
#[test]
fn leaving_engines_get_nothing_although_they_are_fast() {
    let mut view = taught(&["a", "a", "a", "a"], &["e0"]);
    for id in ["e1", "e2", "e3"] {
        view.remove_server(id, at(LEARNED_MS));
    }
    let excluded = BTreeSet::new();

    let placement = view.place(&query(report(), &excluded), at(LEARNED_MS + 1)).unwrap();

    assert_eq!(placement.id, "e0");
}

/// Pattern: a part of a prompt crashes engines. It is refused, also where an avoided engine waits for
/// a request that measures it again.
#[tokio::test]
async fn contained_part_is_refused_whatever_the_capacity() {
    let context = context(Arc::new(StubStore::default()));
    let part = PromptPart::new(77);
    {
        let mut view = context.view();
        let now = context.clock.now();
        view.apply_server("e0", record(ENGINES, "a", 8_000), position(1), now);
        let key = key_of(&view, "e0");
        view.note_load_header(key, Some("0,0,24,100"), now);
    }
    for run in 0..3 {
        let now = context.clock.now();
        let engine = EngineRun::from_number(run);
        context.crashes().note_break(engine, &[part], now);
        context.crashes().note_engine_end(engine, now);
    }
    let mut request = caller_request(
        &context,
        route("reports", "/reports/", RouteKind::Stream, ENGINES),
        report(),
    );
    request.prompt_parts = vec![part];

    let result = StreamForwarder::new(&context, request).run().await;

    assert_eq!(result.err().map(|failure| failure.kind), Some(ErrorKind::PromptContained));
}

/// Pattern: an engine leaves and its generations move. Targets are chosen by the time until the
/// memory arrives; the choice must be the same with and without learned speeds.
#[test]
fn targets_of_moves_are_chosen_as_before() {
    let zones = ["a", "a", "a", "b"];
    let mut learned = taught(&zones, &["e1"]);
    let mut plain = view(&zones);
    let excluded = BTreeSet::from([key_of(&plain, "e0")]);
    let moved = PlacementQuery {
        preferred_zone: Some("a"),
        moved_tokens: 4_000,
        ..query(report(), &excluded)
    };

    for index in 0..8 {
        let now = at(LEARNED_MS + 400 + index);
        let expected = plain.place(&moved, now).unwrap().id;
        assert_eq!(learned.place(&moved, now).unwrap().id, expected);
    }
}

/// Pattern: the same for backup copies, which need memory and no speed.
#[test]
fn targets_of_copies_are_chosen_as_before() {
    let zones = ["a", "a", "a", "b"];
    let mut learned = taught(&zones, &["e1", "e2"]);
    let mut plain = view(&zones);
    let source = key_of(&plain, "e0");
    let excluded = BTreeSet::from([source]);
    let copy = PlacementQuery { preferred_zone: Some("a"), ..query(report(), &excluded) };

    for index in 0..3 {
        let now = at(LEARNED_MS + 400 + index);
        let expected = plain.place_copy(&copy, source, now).unwrap().id;
        assert_eq!(learned.place_copy(&copy, source, now).unwrap().id, expected);
    }
}

/// Pattern: a server with the same ID starts anew. It begins at the usual speed, and late reports
/// about its predecessor do not count.
#[test]
fn restarted_engine_begins_at_the_usual_speed() {
    let mut view = taught(&["a", "a", "a", "a"], &["e3"]);
    assert!(speed(&view, "e3", LEARNED_MS) < 0.6);
    let sample = PeerSample { samples: 16, speed: 0.4, age: Duration::from_millis(100) };

    let restarted = ServerRecord { started_at_ms: Some(2), ..record(ENGINES, "a", 8_003) };
    view.apply_server("e3", restarted, position(99), at(LEARNED_MS));

    let key = view.servers().filter(|(_, state)| state.id == "e3").last().unwrap().0;
    let table_speed =
        |view: &FleetView| view.capacity(ENGINES).unwrap().speed(key, at(LEARNED_MS + 100));
    assert_eq!(table_speed(&view), 1.0);
    assert!(!view.note_peer_speed(7, "e3", Some(1), sample, at(LEARNED_MS)));
    assert_eq!(table_speed(&view), 1.0);
    assert!(view.note_peer_speed(7, "e3", Some(2), sample, at(LEARNED_MS)));
    assert!(table_speed(&view) < 0.5);
}

/// Pattern: a VM restarted, and gets reports of a peer. It must know the slow engines before its own
/// streams have told it.
#[test]
fn restarted_vm_learns_speeds_from_reports() {
    let learned = taught(&["a", "a", "a", "a"], &["e3"]);
    let mut restarted = view(&["a", "a", "a", "a"]);
    assert!(restarted.capacity(ENGINES).is_none());

    let speeds = speed_entries(&learned, 0, at(LEARNED_MS));
    let report = PeerReport { boot: 9, speeds, ..PeerReport::default() };
    apply_speeds(&mut restarted, &report, at(LEARNED_MS));
    apply_speeds(&mut restarted, &report, at(LEARNED_MS + 50));

    assert_eq!(report.speeds.len(), 4);
    assert!(speed(&restarted, "e3", LEARNED_MS + 50) < 0.6);
    assert!(speed(&restarted, "e0", LEARNED_MS + 50) > 0.9);
}

/// Pattern: a VM uses more servers than fit into a report. All are reported in turn, and no report
/// takes much of a datagram.
#[test]
fn speeds_of_many_servers_are_reported_in_turn() {
    let view = taught(&["a"; 20], &[]);

    let mut told = BTreeSet::new();
    for turn in 0..3 {
        let entries = speed_entries(&view, turn, at(LEARNED_MS));
        let report = PeerReport { speeds: entries.clone(), ..PeerReport::default() };
        assert!(prost::Message::encoded_len(&report) <= 8 * 40);
        told.extend(entries.into_iter().map(|entry| entry.server));
    }

    assert_eq!(told.len(), 20);
    assert_eq!(
        speed_entries(&view, 0, at(LEARNED_MS + 5_000)).len(),
        0,
        "old samples are not told"
    );
}

/// Pattern: the load header of an engine turns to nonsense or is gone in the middle. The engine is
/// judged by its results, with one line.
#[test]
fn engine_without_a_usable_header_is_judged_by_results() {
    for text in [Some("8,0,24,fast"), None] {
        let mut view = taught(&["a", "a", "a", "a"], &["e3"]);
        view.take_capacity_changes();
        let key = key_of(&view, "e3");
        view.note_load_header(key, Some("8,0,24,250"), at(LEARNED_MS));
        for step in 0..50 {
            let now = at(LEARNED_MS + 100 * step);
            view.note_load_header(key, text, now);
            let (usual, heavy) = (millis(32.0), millis(62.0));
            let run = view.start_run(key, "reports", now);
            view.note_run_pauses(run, PauseSample { usual, heavy }, now);
            view.end_run(run, RunEnd::Abandoned, now);
        }

        let faults: Vec<_> = view
            .take_capacity_changes()
            .into_iter()
            .filter(|(_, change)| matches!(change, CapacityChange::HeaderUnusable { .. }))
            .collect();
        let fault = text.map_or(HeaderFault::Absent, |_| HeaderFault::NotANumber);
        assert_eq!(faults, [("e3".to_owned(), CapacityChange::HeaderUnusable { fault })]);
        assert_eq!(view.capacity(ENGINES).unwrap().pace(key, at(LEARNED_MS + 500)), 1.0);
        assert!(speed(&view, "e3", LEARNED_MS + 5_000) > 0.8, "it is fast by its results");
    }
}

/// Pattern: the first three figures of the header are used by all services; a bad one must not count
/// as another.
#[test]
fn bad_header_does_not_count_as_load() {
    let mut view = view(&["a"]);
    let key = key_of(&view, "e0");

    view.note_load_header(key, Some("x,3,24"), at(0));
    let unused = view.server(key).unwrap().total_load(at(1)).requests;
    view.note_load_header(key, Some("3,1,24"), at(2));
    let used = view.server(key).unwrap().total_load(at(3)).requests;

    assert_eq!((unused, used), (0, 4));
}
