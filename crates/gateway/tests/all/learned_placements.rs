//! Placement by learned capacity. Each test describes its load pattern.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflycart_capacity::{PauseSample, RunningLoad};
use dragonflycart_core::MonoTime;
use dragonflycart_gateway::{FleetView, PlacementQuery, RunEnd, ServerLoad, TokenDemand};

use crate::fixtures::{DESK, at, key_of, position, query, record, report, view};

/// Time at which the views of these tests have learned the speeds.
pub(crate) const LEARNED_MS: u64 = 12_000;

fn verdict() -> TokenDemand {
    TokenDemand::estimate(2_200, 40, Some(12))
}

fn millis(time_ms: f64) -> Duration {
    Duration::from_secs_f64(time_ms / 1_000.0)
}

/// Lets each engine write a stream for 12 seconds, with `factor` times the usual times.
pub(crate) fn teach_engines(view: &mut FleetView, factors: &[f64]) {
    for half in 0..24 {
        let now = at(500 * half);
        for (index, factor) in factors.iter().enumerate() {
            let key = key_of(view, &format!("e{index}"));
            view.note_load_header(key, Some("8,0,24,100"), now);
            let run = view.start_run(key, "reports", now - millis(400.0 * factor));
            view.note_run_load(run, RunningLoad { requests: 8, unread_tokens: 3_000 });
            view.note_run_started(run, now);
            let (usual, heavy) = (millis(32.0 * factor), millis(62.0 * factor));
            view.note_run_pauses(run, PauseSample { usual, heavy }, now);
            view.end_run(run, RunEnd::Good, now);
        }
    }
}

/// Returns a view with fast engines `e0` and so on, and slow ones after them.
fn taught_view(zones: &[&str], slow: usize) -> FleetView {
    let mut view = view(zones);
    let factors: Vec<f64> =
        (0..zones.len()).map(|index| if index + slow < zones.len() { 1.0 } else { 2.2 }).collect();
    teach_engines(&mut view, &factors);
    view
}

/// Places `count` requests whose prompts are read before the next one arrives, and counts them by
/// engine.
fn place_in_turn(view: &mut FleetView, demand: TokenDemand, count: u64) -> BTreeMap<String, usize> {
    let excluded = BTreeSet::new();
    let mut counts = BTreeMap::new();
    for index in 0..count {
        let now = at(LEARNED_MS + index);
        let Ok(placement) = view.place(&query(demand, &excluded), now) else { break };
        let started = ServerLoad { pending_prompt_tokens: 0, ..placement.load };
        view.replace_load(placement.server, placement.load, started);
        *counts.entry(placement.id).or_insert(0) += 1;
    }
    counts
}

/// Pattern: a quarter of the engines is slow, and all of the VM's own zone. On a slow engine, a long
/// stream is late in each slow phase, even if the engine is idle.
#[test]
fn long_streams_go_to_fast_engines_of_other_zones() {
    let mut view = taught_view(&["b", "b", "c", "a"], 1);

    let counts = place_in_turn(&mut view, report(), 9);

    assert!(!counts.contains_key("e3"), "{counts:?}");
    assert_eq!(counts.values().sum::<usize>(), 9);
}

/// Pattern: the same, and the fast engines are full. A stream that may be late is worth more than
/// none.
#[test]
fn long_streams_take_a_slow_engine_when_the_fast_ones_are_full() {
    let mut view = taught_view(&["a", "a", "a", "a"], 1);

    let counts = place_in_turn(&mut view, report(), 28);

    let last = counts.get("e3").copied().unwrap_or_default();
    assert!(last >= 1, "{counts:?}");
    assert!(counts["e0"] >= 6 && counts["e1"] >= 6 && counts["e2"] >= 6, "{counts:?}");
}

/// Pattern: short streams, which only need their prompt read, beside long ones. On fast engines they
/// would take the room of long streams.
#[test]
fn short_streams_fill_slow_engines_first() {
    let mut view = taught_view(&["a", "a", "a", "a"], 1);

    let counts = place_in_turn(&mut view, verdict(), 5);

    assert_eq!(counts, BTreeMap::from([("e3".to_owned(), 5)]));
}

/// Pattern: a burst of short streams. A slow engine must not collect prompts until their first
/// events come late.
#[test]
fn short_streams_leave_slow_engines_before_they_are_late() {
    let mut view = taught_view(&["a", "a", "a", "a"], 1);
    let excluded = BTreeSet::new();

    let mut counts = BTreeMap::<String, usize>::new();
    for _ in 0..4 {
        let placement = view.place(&query(verdict(), &excluded), at(LEARNED_MS)).unwrap();
        *counts.entry(placement.id).or_default() += 1;
    }

    assert!(counts["e3"] <= 2, "{counts:?}");
}

/// Pattern: all engines are slow together, for example because of the machines below them. None is
/// avoided, since that would leave less capacity.
#[test]
fn engines_that_are_slow_together_are_not_avoided() {
    let mut view = view(&["a", "a", "a", "a"]);
    teach_engines(&mut view, &[2.2; 4]);

    let counts = place_in_turn(&mut view, report(), 8);

    assert_eq!(counts.len(), 4, "{counts:?}");
}

/// Pattern: an earlier deployment, whose servers send no pace. Its placement must not change,
/// whatever the results are.
#[test]
fn without_a_pace_placement_is_unchanged() {
    let mut taught = view(&["a", "a", "b", "c"]);
    let mut untaught = view(&["a", "a", "b", "c"]);
    for half in 0..24 {
        let now = at(500 * half);
        for (index, factor) in [1.0, 3.0, 1.0, 1.0].iter().enumerate() {
            let key = key_of(&taught, &format!("e{index}"));
            taught.note_load_header(key, Some("0,0,24"), now);
            let run = taught.start_run(key, "reports", now - millis(400.0 * factor));
            taught.note_run_load(run, RunningLoad { requests: 8, unread_tokens: 3_000 });
            taught.note_run_started(run, now);
            let (usual, heavy) = (millis(32.0 * factor), millis(62.0 * factor));
            taught.note_run_pauses(run, PauseSample { usual, heavy }, now);
            taught.end_run(run, RunEnd::Good, now);
        }
    }

    let demands = [report(), verdict()];
    let excluded = BTreeSet::new();
    for index in 0..40 {
        let query = query(demands[index % 2], &excluded);
        let now = at(LEARNED_MS + 400 + index as u64);
        let expected = untaught.place(&query, now).map(|placement| placement.id);
        let chosen = taught.place(&query, now).map(|placement| placement.id);
        assert_eq!(chosen, expected, "request {index}");
    }
}

/// Returns a view of plain servers `d0` and so on, of six slots each.
fn desk_view(count: u16) -> FleetView {
    let mut view = view(&[]);
    for index in 0..count {
        let record =
            dragonflycart_gateway::ServerRecord { slots: 6, ..record(DESK, "a", 9_000 + index) };
        view.apply_server(&format!("d{index}"), record, position(u64::from(index)), at(0));
    }
    view
}

fn call<'a>(
    excluded: &'a BTreeSet<dragonflycart_gateway::ServerKey>,
    seed: u64,
) -> PlacementQuery<'a> {
    PlacementQuery { service: DESK, sample_seed: seed, ..query(TokenDemand::default(), excluded) }
}

fn place_call(view: &mut FleetView, seed: u64, now: MonoTime) -> String {
    let excluded = BTreeSet::new();
    let placement = view.place(&call(&excluded, seed), now).unwrap();
    view.release(placement.server, placement.load);
    placement.id
}

/// Pattern: a plain server takes 2.5 times as long for some hundred milliseconds. Calls must leave it
/// at once and come back at once, not after ten results.
#[test]
fn plain_calls_avoid_a_server_in_its_slow_phase() {
    let mut view = desk_view(3);
    for index in 0..3 {
        let key = key_of(&view, &format!("d{index}"));
        view.note_load_header(key, Some("1,0,6,100"), at(0));
    }
    let slow = key_of(&view, "d1");
    view.note_load_header(slow, Some("0,0,6,250"), at(1));

    let during: BTreeSet<String> =
        (0..30).map(|seed| place_call(&mut view, seed, at(200))).collect();
    let after: BTreeSet<String> =
        (0..30).map(|seed| place_call(&mut view, seed, at(400))).collect();

    assert!(!during.contains("d1"), "{during:?}");
    assert!(after.contains("d1"), "{after:?}");
}

/// Lets each plain server answer calls for ten seconds, `d0` in `factor` times the usual time.
fn teach_calls(view: &mut FleetView, factor: f64) {
    for step in 0..100 {
        let now = at(100 * step);
        for index in 0..4 {
            let key = key_of(view, &format!("d{index}"));
            view.note_load_header(key, Some("1,0,6,100"), now);
            let time = if index == 0 { 30.0 * factor } else { 30.0 };
            let run = view.start_run(key, "bookings", now - millis(time));
            view.end_run(run, RunEnd::Good, now);
        }
    }
}

/// Pattern: one plain server has half the speed. It must get fewer calls at equal load, and still get
/// some when the others are full.
#[test]
fn plain_calls_go_where_they_end_first() {
    let mut view = desk_view(4);
    teach_calls(&mut view, 2.0);
    let excluded = BTreeSet::new();

    let mut counts = BTreeMap::<String, usize>::new();
    for seed in 0..36 {
        let placement = view.place(&call(&excluded, seed), at(10_000)).unwrap();
        *counts.entry(placement.id).or_default() += 1;
    }

    let slow = counts.get("d0").copied().unwrap_or_default();
    assert!((3..=7).contains(&slow), "{counts:?}");
    for id in ["d1", "d2", "d3"] {
        assert!((8..=13).contains(&counts[id]), "{counts:?}");
    }
}

/// Pattern: a plain server is so slow that it gets no calls. It is measured again, by one call of each
/// VM in turn.
#[test]
fn avoided_plain_server_gets_an_occasional_call() {
    let mut view = desk_view(4);
    teach_calls(&mut view, 4.0);
    view.sharing_vms = 4;

    let calls =
        (0..90).filter(|step| place_call(&mut view, *step, at(10_000 + 100 * step)) == "d0");

    let count = calls.count();
    assert!((1..=3).contains(&count), "{count} in 9 s");
}

/// Pattern: a server refused a call while it had some. Others take more than it does.
#[test]
fn server_that_refuses_gets_fewer_calls() {
    let mut view = desk_view(2);
    for index in 0..2 {
        let key = key_of(&view, &format!("d{index}"));
        view.note_load_header(key, Some("2,0,6,100"), at(0));
    }
    let refusing = key_of(&view, "d0");
    let excluded = BTreeSet::new();
    let busy = ServerLoad { requests: 2, ..ServerLoad::default() };
    for id in ["d0", "d1"] {
        view.note_peer_load(7, id, busy, at(0));
    }
    view.note_refusal(refusing, Duration::from_millis(100), at(0));

    for seed in 0..20 {
        let placement = view.place(&call(&excluded, seed), at(200)).unwrap();
        view.release(placement.server, placement.load);
        assert_eq!(placement.id, "d1");
    }
}
