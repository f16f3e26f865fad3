//! Placement of requests under load patterns. Each test describes its pattern.

use std::collections::{BTreeMap, BTreeSet};

use dragonflycart_core::ErrorKind;
use dragonflycart_gateway::{FleetView, PlacementQuery, ServerLoad, TokenDemand, VmSettings};

use crate::fixtures::{
    ENGINES, MEMORY_TOKENS, at, key_of, position, query, record, report, settings, view, view_of,
};

/// Pattern: long generations fill the memory of all engines. One more would be started and
/// preempted again, or wait in the queue of an engine that may shut down.
#[test]
fn full_engines_get_no_generation() {
    let mut view = view(&["a", "b"]);
    let excluded = BTreeSet::new();
    let mut placed = 0;

    let refusal = loop {
        match view.place(&query(report(), &excluded), at(placed)) {
            Ok(_) => placed += 1,
            Err(error) => break error,
        }
        assert!(placed < 100, "the engines never filled");
    };

    assert_eq!(refusal, ErrorKind::Overloaded);
    for (_, state) in view.servers() {
        assert!(state.own_load.tokens <= MEMORY_TOKENS);
        assert!(state.own_load.tokens + report().reserved_tokens() > MEMORY_TOKENS * 9 / 10);
    }
}

/// Pattern: a request larger than an engine's memory. It must not wait for capacity that never
/// becomes available; the engine rejects it.
#[test]
fn request_larger_than_an_engine_goes_to_an_empty_one() {
    let mut view = view(&["a"]);
    let excluded = BTreeSet::new();
    let huge = TokenDemand::estimate(MEMORY_TOKENS * 2, 10, None);

    assert!(view.place(&query(huge, &excluded), at(0)).is_ok());
}

/// Pattern: a burst of long prompts. If two go to one engine, the second is late while other
/// engines are idle.
#[test]
fn burst_of_prompts_spreads_over_the_engines() {
    let mut view = view(&["a", "a", "b", "b", "b", "c"]);
    let excluded = BTreeSet::new();

    let mut counts = BTreeMap::new();
    for _ in 0..6 {
        let placement = view.place(&query(report(), &excluded), at(0)).unwrap();
        *counts.entry(placement.id).or_insert(0) += 1;
    }

    assert_eq!(counts.len(), 6, "{counts:?}");
}

/// Pattern: the engine with the most free memory is processing a long prompt. A request queued
/// behind it would be late, while an engine with less free memory could start it at once.
#[test]
fn prompt_that_waits_counts_more_than_memory_in_use() {
    let mut view = view(&["a", "b"]);
    let excluded = BTreeSet::new();
    let reading = ServerLoad {
        requests: 1,
        tokens: 3_000,
        copy_tokens: 0,
        pending_prompt_tokens: 3_000,
        ..ServerLoad::default()
    };
    let running = ServerLoad {
        requests: 1,
        tokens: 6_000,
        copy_tokens: 0,
        pending_prompt_tokens: 0,
        ..ServerLoad::default()
    };
    view.note_peer_load(7, "e0", reading, at(0));
    view.note_peer_load(7, "e1", running, at(0));

    let placement = view.place(&query(report(), &excluded), at(1)).unwrap();

    assert_eq!(placement.id, "e1");
}

/// Pattern: requests from many VMs at the same time. The load reported by peers counts like the
/// VM's own.
#[test]
fn load_of_peers_turns_requests_away_from_an_engine() {
    let mut view = view(&["a", "b"]);
    let excluded = BTreeSet::new();
    let load = ServerLoad {
        requests: 6,
        tokens: 20_000,
        copy_tokens: 0,
        pending_prompt_tokens: 6_000,
        ..ServerLoad::default()
    };
    view.note_peer_load(7, "e0", load, at(0));

    let placement = view.place(&query(report(), &excluded), at(1)).unwrap();

    assert_eq!(placement.id, "e1");
}

/// Pattern: a VM crashed with open generations. Its last report must not block an engine forever.
#[test]
fn load_of_an_unresponsive_peer_expires() {
    let mut view = view(&["a"]);
    let excluded = BTreeSet::new();
    let load = ServerLoad {
        requests: 6,
        tokens: MEMORY_TOKENS,
        copy_tokens: 0,
        pending_prompt_tokens: 0,
        ..ServerLoad::default()
    };
    view.note_peer_load(7, "e0", load, at(0));

    assert!(view.place(&query(report(), &excluded), at(2_900)).is_err());
    assert!(view.place(&query(report(), &excluded), at(3_100)).is_ok());
}

/// Pattern: memory for running generations takes precedence over backup copies, which may never be
/// needed.
#[test]
fn copies_leave_memory_to_generations() {
    let mut view = view(&["a"]);
    let excluded = BTreeSet::new();

    let source = key_of(&view, "e0");
    let mut copies = 0;
    while view.place_copy(&query(report(), &excluded), source, at(copies)).is_ok() {
        copies += 1;
    }

    let state = view.servers().next().unwrap().1;
    assert!(copies >= 1);
    assert!(state.own_load.copy_tokens * 2 < MEMORY_TOKENS);
    assert!(view.place(&query(report(), &excluded), at(100)).is_ok());
}

/// Pattern: all generations of a leaving engine move at once. A copy to another zone takes twice as
/// long, and time is short.
#[test]
fn generation_that_moves_stays_in_the_zone_while_there_is_room() {
    let mut view = view(&["a", "b", "b"]);
    let source = key_of(&view, "e1");
    let excluded = BTreeSet::from([source]);
    let load = ServerLoad {
        requests: 4,
        tokens: 14_000,
        copy_tokens: 0,
        pending_prompt_tokens: 6_000,
        ..ServerLoad::default()
    };
    view.note_peer_load(7, "e2", load, at(0));
    let query = PlacementQuery { preferred_zone: Some("b"), ..query(report(), &excluded) };

    let placement = view.place(&query, at(1)).unwrap();

    assert_eq!(placement.id, "e2");
}

/// Pattern: many generations move at the same time, before their VMs learn of each other's choices.
#[test]
fn simultaneous_moves_choose_different_targets() {
    let excluded = BTreeSet::new();
    let mut targets = BTreeSet::new();

    for seed in 0..40 {
        let mut view = view(&["b"; 8]);
        let query = PlacementQuery {
            preferred_zone: Some("b"),
            spread_seed: Some(seed),
            ..query(report(), &excluded)
        };
        targets.insert(view.place(&query, at(0)).unwrap().id);
    }

    assert!(targets.len() >= 6, "{targets:?}");
}

/// Pattern: outputs longer than their estimates. They accumulate on engines, since the short ones
/// end.
#[test]
fn generation_that_outlives_its_estimate_keeps_growing_in_the_sum() {
    let demand = report();

    let at_estimate = demand.reserved_after(demand.expected_tokens());
    let beyond = demand.reserved_after(2 * demand.expected_tokens());

    assert!(beyond > at_estimate);
    assert!(beyond > demand.prompt_tokens + 2 * demand.expected_tokens());
}

/// Pattern: requests that end. Their whole load must be released.
#[test]
fn released_load_makes_room_again() {
    let mut view = view(&["a"]);
    let excluded = BTreeSet::new();
    let mut placements = Vec::new();
    while let Ok(placement) = view.place(&query(report(), &excluded), at(0)) {
        placements.push(placement);
    }

    let placement = placements.pop().unwrap();
    view.release(placement.server, placement.load);

    assert!(view.place(&query(report(), &excluded), at(1)).is_ok());
    for placement in placements {
        view.release(placement.server, placement.load);
    }
}

/// Starts `count` generations one after another, each after the prompt of the previous one was
/// read, and returns how many went to each engine.
fn place_in_turn(demand: TokenDemand, count: u64) -> BTreeMap<String, u64> {
    let mut view = view(&["a", "b"]);
    let excluded = BTreeSet::new();
    let mut counts = BTreeMap::new();
    for index in 0..count {
        let placement = view.place(&query(demand, &excluded), at(index)).unwrap();
        let started = ServerLoad { pending_prompt_tokens: 0, ..placement.load };
        view.replace_load(placement.server, placement.load, started);
        *counts.entry(placement.id).or_insert(0) += 1;
    }
    counts
}

/// Pattern: zones are cut off from each other while long streams run. Streams of engines in the
/// VM's own zone go on.
#[test]
fn long_generation_stays_in_the_zone_while_its_engines_are_not_much_busier() {
    let few = place_in_turn(report(), 3);
    let many = place_in_turn(report(), 10);

    assert_eq!(few, BTreeMap::from([("e0".to_owned(), 3)]));
    assert!(many.contains_key("e1"), "the zone's engines fill while others are idle: {many:?}");
}

/// Pattern: the same. Short generations have ended when the partition is noticed, so they even out
/// the load that long ones leave uneven.
#[test]
fn short_generations_even_out_the_load_of_zones() {
    let verdict = TokenDemand::estimate(2_200, 40, Some(12));

    let counts = place_in_turn(verdict, 10);

    assert!(counts["e0"].abs_diff(counts["e1"]) <= 2, "{counts:?}");
}

/// Runs a burst of one prompt for each of three zones whose engines all have a prompt waiting, while
/// those of zone `a` look idle. VMs of different zones don't see each other's requests in time.
/// Returns the number of prompts that went to the same engine as another one.
fn prompts_that_meet(vm_count: usize, seed: u64) -> usize {
    let zones = ["a", "b", "c", "d"];
    let engine_zones: Vec<&str> = (0..40).map(|index| zones[index % 4]).collect();
    let verdict = TokenDemand::estimate(2_200, 40, Some(12));
    let busy = ServerLoad { requests: 1, pending_prompt_tokens: 2_200, ..ServerLoad::default() };
    let excluded = BTreeSet::new();
    let mut counts = BTreeMap::<String, usize>::new();
    for (index, zone) in ["b", "c", "d"].into_iter().enumerate() {
        let mut view = view_of(VmSettings { zone: zone.to_owned(), ..settings() }, &engine_zones);
        view.vm_count = vm_count;
        for number in (0..40).filter(|number| number % 4 != 0) {
            view.note_peer_load(1, &format!("e{number}"), busy, at(0));
        }
        let sample_seed = 3 * seed + index as u64;
        let query = PlacementQuery { sample_seed, ..query(verdict, &excluded) };
        let placement = view.place(&query, at(10)).unwrap();
        *counts.entry(placement.id).or_default() += 1;
    }
    counts.into_values().filter(|count| *count > 1).sum()
}

/// Pattern: 200 or 400 VMs choose among the same engines at the same moment, on reports of other
/// zones that are as old as the interval of reports. All of them chose the first idle engine; most
/// prompts must get an engine for themselves, since there are enough.
#[test]
fn requests_of_a_large_fleet_do_not_meet_at_the_same_engines() {
    for vm_count in [200, 400] {
        let bursts = 100;
        let meeting: usize = (0..bursts).map(|seed| prompts_that_meet(vm_count, seed)).sum();

        assert!(2 * meeting < 3 * bursts as usize, "{vm_count} VMs: {meeting} prompts met");
    }
}

/// Pattern: the engines of the VM's zone are full. Engines of other zones that are not in the
/// sample must not be overlooked.
#[test]
fn request_of_a_large_fleet_finds_the_only_engine_with_room() {
    let zones: Vec<&str> = (0..40).map(|index| ["a", "b", "c", "d"][index % 4]).collect();
    let mut view = view(&zones);
    view.vm_count = 200;
    for index in 0..39 {
        let load = ServerLoad { requests: 8, tokens: MEMORY_TOKENS, ..ServerLoad::default() };
        view.note_peer_load(1, &format!("e{index}"), load, at(0));
    }
    let excluded = BTreeSet::new();

    for sample_seed in 0..50 {
        let query = PlacementQuery { sample_seed, ..query(report(), &excluded) };
        let placement = view.place(&query, at(10)).unwrap();
        view.release(placement.server, placement.load);

        assert_eq!(placement.id, "e39");
    }
}

/// Guards against a nearness that is remembered from an earlier registration: a server that was
/// registered with another zone must count as near at once, and the other way round.
#[test]
fn changed_zone_of_a_registration_counts_at_once() {
    let mut view = view(&["a", "b"]);
    view.vm_count = 100;
    let excluded = BTreeSet::new();
    for index in 2..8 {
        // Enough servers of the VM's zone for a sample of the others.
        let record = record(ENGINES, "a", 8_000 + index);
        view.apply_server(&format!("e{index}"), record, position(20 + u64::from(index)), at(0));
    }
    let busy = ServerLoad { requests: 20, tokens: 20_000, ..ServerLoad::default() };
    for index in (0..8).filter(|index| *index != 1) {
        view.note_peer_load(7, &format!("e{index}"), busy, at(0));
    }
    let mut far = record(ENGINES, "b", 8_001);
    for index in 8..80 {
        far.address.set_port(8_000 + index);
        view.apply_server(
            &format!("e{index}"),
            far.clone(),
            position(20 + u64::from(index)),
            at(0),
        );
        view.note_peer_load(7, &format!("e{index}"), busy, at(0));
    }
    let seeds = 0..40_u64;
    let count = |view: &mut FleetView, now| {
        let mut count = 0;
        for sample_seed in seeds.clone() {
            let query = PlacementQuery { sample_seed, ..query(report(), &excluded) };
            let placement = view.place(&query, now).unwrap();
            view.release(placement.server, placement.load);
            count += usize::from(placement.id == "e1");
        }
        count
    };

    let as_far = count(&mut view, at(10));
    view.apply_server("e1", record(ENGINES, "a", 8_001), position(200), at(20));
    let as_near = count(&mut view, at(30));

    assert!(as_far < 20, "it is in few samples: {as_far}");
    assert_eq!(as_near, 40);
}
