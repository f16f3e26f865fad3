//! Moves of the generations of a leaving engine.

use std::{collections::BTreeSet, time::Duration};

use dragonflycart_gateway::{
    CopyStart, MoveSchedule, PlacementQuery, RunningGeneration, ServerLoad,
};

use crate::fixtures::{ENGINES, MEMORY_TOKENS, at, key_of, query, report, view};

/// Copy time per token on the network links of the larger deployments.
const TOKEN_TIME: Duration = Duration::from_micros(55);

fn generation(attempt: &str, events: u64) -> RunningGeneration {
    RunningGeneration { attempt: attempt.to_owned(), tokens: 3_000 + 4 * events, events }
}

fn schedule(generations: &[RunningGeneration], time_ms: u64) -> MoveSchedule<'_> {
    MoveSchedule { generations, token_time: TOKEN_TIME, time: Duration::from_millis(time_ms) }
}

fn starts(schedule: MoveSchedule<'_>) -> Vec<CopyStart> {
    schedule.generations.iter().map(|generation| schedule.copy_start(&generation.attempt)).collect()
}

/// Engines with full memories were reclaimed, a sixth of them at a time, with a notice of one and a
/// half seconds. All copies were started at once, so final copies queued behind first copies. All
/// eight generations of an engine were lost, although there was time to copy five.
#[test]
fn copies_of_a_full_engine_follow_one_another_as_far_as_there_is_time() {
    let generations: Vec<_> = (0..8).map(|index| generation(&format!("g{index}"), 50)).collect();

    let starts = starts(schedule(&generations, 1_100));

    let saved = starts.iter().filter(|start| matches!(start, CopyStart::After(_))).count();
    assert_eq!(saved, 5, "176 ms each, and the calls, within 1,100 ms: {starts:?}");
    let mut starts: Vec<_> = starts
        .iter()
        .filter_map(|start| match start {
            CopyStart::After(delay) => Some(*delay),
            CopyStart::NoTime => None,
        })
        .collect();
    starts.sort();
    for pair in starts.windows(2) {
        let copy = TOKEN_TIME * 3_200;
        assert!(pair[1] - pair[0] >= copy, "a copy starts before the one ahead of it ends");
    }
}

/// At low load there is time for all copies. Final copies that were started at once queued on the
/// targets' network links behind first copies from other engines: 20 streams paused for more than
/// 180 ms.
#[test]
fn schedule_is_tight_only_if_some_generation_has_no_time() {
    let generations: Vec<_> = (0..6).map(|index| generation(&format!("g{index}"), 50)).collect();

    assert!(!schedule(&generations, 1_250).is_tight());
    assert!(schedule(&generations, 900).is_tight());
}

/// The VMs that relay the generations of an engine do not coordinate. Each must compute the same
/// schedule from the same list, whatever the order of the list.
#[test]
fn order_does_not_depend_on_the_order_of_the_list() {
    let mut generations =
        vec![generation("a", 10), generation("b", 200), generation("c", 90), generation("d", 90)];
    let before: Vec<_> = generations
        .iter()
        .map(|generation| schedule(&generations, 700).copy_start(&generation.attempt))
        .collect();
    let names: Vec<_> = generations.iter().map(|generation| generation.attempt.clone()).collect();

    generations.reverse();

    let after: Vec<_> =
        names.iter().map(|name| schedule(&generations, 700).copy_start(name)).collect();
    assert_eq!(before, after);
}

/// The generation that produced the most has the least work left, which matters when engines are
/// full.
#[test]
fn generation_that_made_most_is_copied_first() {
    let generations = [generation("young", 3), generation("old", 300), generation("middle", 120)];

    let schedule = schedule(&generations, 2_000);

    assert_eq!(schedule.copy_start("old"), CopyStart::After(Duration::ZERO));
    let young = schedule.copy_start("young");
    assert!(matches!(young, CopyStart::After(delay) if delay > TOKEN_TIME * 6_000));
}

/// A generation that is too large for the time left must not prevent the copies of smaller ones.
#[test]
fn generation_that_does_not_fit_leaves_its_time_to_others() {
    let generations = [generation("huge", 4_000), generation("small", 5)];

    let schedule = schedule(&generations, 400);

    assert_eq!(schedule.copy_start("huge"), CopyStart::NoTime);
    assert_eq!(schedule.copy_start("small"), CopyStart::After(Duration::ZERO));
}

/// A generation that starts during the notice is not in the list yet. Its copy delayed the final
/// copies of all others.
#[test]
fn unlisted_generation_comes_after_all_listed_ones() {
    let generations = [generation("a", 100), generation("b", 50)];

    let CopyStart::After(delay) = schedule(&generations, 1_100).copy_start("new") else {
        panic!("no start")
    };

    assert!(delay >= TOKEN_TIME * 6_600);
}

/// When several engines of a zone left together, their copies queued for over a second on the
/// network links of the few engines in the zone that had capacity.
#[test]
fn moves_spread_over_targets_by_the_time_until_the_memory_arrives() {
    let mut view = view(&["a", "a", "a", "b"]);
    let source = key_of(&view, "e0");
    let excluded = BTreeSet::from([source]);
    view.remove_server("e0", at(0));
    let moved = PlacementQuery {
        preferred_zone: Some("a"),
        moved_tokens: 4_000,
        ..query(report(), &excluded)
    };

    let ids: Vec<_> = (0..4).map(|_| view.place(&moved, at(1)).unwrap().id).collect();

    assert_eq!(&ids[..2], ["e1", "e2"], "engines in the zone come first");
    assert!(ids[2..].contains(&"e3".to_owned()), "another zone when both links are busy: {ids:?}");
}

/// Copies to other zones take twice as long, so there is time for fewer.
#[test]
fn room_in_the_zone_tells_which_part_of_the_copies_is_short() {
    let mut view = view(&["a", "a", "b"]);
    let full = ServerLoad { requests: 6, tokens: 20_000, ..ServerLoad::default() };
    view.note_peer_load(7, "e0", full, at(0));
    view.remove_server("e0", at(0));
    assert_eq!(view.fraction_fitting_in_zone(ENGINES, "a", at(1)), 1.0);

    let nearly_full =
        ServerLoad { requests: 6, tokens: MEMORY_TOKENS - 5_540, ..ServerLoad::default() };
    view.note_peer_load(7, "e1", nearly_full, at(0));

    let near = view.fraction_fitting_in_zone(ENGINES, "a", at(1));
    assert!((near - 0.25).abs() < 0.01, "room for 5,000 of 20,000 tokens: {near}");
}
