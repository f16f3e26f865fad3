//! Demand of the other VMs, and giving way to it. Each test describes its load pattern.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_admission::{
    AdmissionTable, FleetDemand, GiveWay, RankDemand, ServiceDemand, WaitEstimate, Waiter,
};

use crate::fixtures::{ENGINES, LONG_TOKENS, SHORT_TOKENS, at, long};

const INTERVAL: Duration = Duration::from_millis(300);

/// Returns the demand of a VM for requests of equal size that are on time, by rank.
fn demand_of(ranks: &[(u8, u32)]) -> BTreeMap<String, ServiceDemand> {
    let rank_demand = |waiting: u32| {
        let tokens = u64::from(waiting) * SHORT_TOKENS;
        RankDemand { waiting, tokens, timely_tokens: tokens }
    };
    let ranks = ranks.iter().map(|(rank, waiting)| (*rank, rank_demand(*waiting))).collect();
    let demand =
        ServiceDemand { ranks, freed_per_s: 1_000.0, freed_samples: 2.0, promised_tokens: 0 };
    BTreeMap::from([(ENGINES.to_owned(), demand)])
}

/// Pattern: one urgent request waits at one VM, and long ones wait at all others. If each of them
/// left room for it, all the room would lie idle.
#[test]
fn vms_with_less_urgent_requests_divide_the_urgent_demand() {
    let mut alone = FleetDemand::default();
    alone.note_report(1, demand_of(&[(0, 10)]), INTERVAL, at(0));
    let mut many = alone.clone();
    for peer in 2..11 {
        many.note_report(peer, demand_of(&[(2, 5)]), INTERVAL, at(0));
    }

    assert_eq!(alone.urgent_share(ENGINES, false, 2, at(10)), 10 * SHORT_TOKENS);
    assert_eq!(many.urgent_share(ENGINES, false, 2, at(10)), SHORT_TOKENS);
}

/// Pattern: late requests at this VM, and others elsewhere that can be on time. The late ones must
/// not take the room of those.
#[test]
fn late_request_gives_way_to_all_that_can_be_on_time() {
    let mut demand = FleetDemand::default();
    demand.note_report(1, demand_of(&[(2, 1)]), INTERVAL, at(0));

    assert_eq!(demand.urgent_share(ENGINES, false, 0, at(10)), 0);
    assert!(demand.urgent_share(ENGINES, true, 0, at(10)) > 0);
}

/// Pattern: a VM reports that its requests were served. Nobody must give way to them any longer.
#[test]
fn newer_report_replaces_the_one_before() {
    let mut demand = FleetDemand::default();
    demand.note_report(1, demand_of(&[(0, 3)]), INTERVAL, at(0));
    demand.note_report(1, demand_of(&[]), INTERVAL, at(50));

    assert_eq!(demand.urgent_share(ENGINES, false, 2, at(60)), 0);
    assert_eq!(demand.freed(ENGINES, at(60)), (1_000.0, 2.0));
    assert_eq!(demand.freed(ENGINES, at(700)), (0.0, 0.0), "the report is too old");
}

/// Pattern: a VM is suspended, and receives reports from before its suspension when it continues.
/// Guards against requests that are refused, or that give way, because of outdated demand.
#[test]
fn reports_from_before_a_suspension_do_not_count() {
    let mut demand = FleetDemand::default();
    demand.note_report(1, demand_of(&[(0, 10)]), INTERVAL, at(0));

    demand.clear();
    demand.note_report(1, demand_of(&[(0, 10)]), INTERVAL, at(100));
    demand.note_report(2, demand_of(&[(0, 10)]), INTERVAL, at(390));
    let old = demand.tokens_ahead(ENGINES, false, 2, at(390));
    demand.note_report(1, demand_of(&[(0, 3)]), INTERVAL, at(400));

    assert_eq!(old, (0, 0));
    assert_eq!(demand.tokens_ahead(ENGINES, false, 2, at(400)).0, 3 * SHORT_TOKENS);
}

/// Pattern: a peer reports the largest possible figures.
/// Guards against sums that overflow, which would panic in builds with overflow checks.
#[test]
fn very_large_figures_do_not_overflow() {
    let ranks = (0..3).map(|rank| {
        let tokens = u64::MAX;
        (rank, RankDemand { waiting: u32::MAX, tokens, timely_tokens: u64::MAX / 2 })
    });
    let huge = ServiceDemand {
        ranks: ranks.collect(),
        freed_per_s: f64::MAX,
        freed_samples: f64::MAX,
        promised_tokens: u64::MAX,
    };
    let mut table = AdmissionTable::default();
    for peer in 1..4 {
        let services = BTreeMap::from([(ENGINES.to_owned(), huge.clone())]);
        table.fleet_demand.note_report(peer, services, Duration::MAX, at(0));
    }
    for _ in 0..3 {
        table.note_promise(ENGINES, u64::MAX, Duration::MAX, at(0));
    }
    table.note_freed(ENGINES, u64::MAX, at(0));

    let waiter = Waiter { tokens: u64::MAX, ..long("a", at(0)) };
    let ids: Vec<_> = (0..3).map(|_| table.enqueue(waiter.clone(), at(0))).collect();

    for id in ids {
        for millis in [0, 5_000] {
            let inputs =
                table.estimate_inputs(id, (ENGINES, u64::MAX), Duration::ZERO, 0, at(millis));
            let estimate = WaitEstimate::from_inputs(inputs);
            estimate.exceeds(Duration::MAX);
        }
        assert!(table.urgent_share(id, ENGINES, at(0)) > 0);
    }
    assert_eq!(table.own_demand(at(0))[ENGINES].ranks[&2].waiting, 3);
}

/// Pattern: the plan adds and removes services, and requests of each were refused.
/// Guards against state and reports that grow without bound.
#[test]
fn unused_services_and_promises_are_forgotten() {
    let mut table = AdmissionTable::default();
    for index in 0..100 {
        let service = format!("s{index}");
        let waiter = Waiter { service: service.clone(), ..long("a", at(0)) };
        let id = table.enqueue(waiter, at(0));
        table.note_freed(&service, LONG_TOKENS, at(0));
        table.note_promise(&service, LONG_TOKENS, Duration::from_secs(5), at(0));
        table.queue.remove(id);
    }
    let used = table.own_demand(at(60_000)).len();

    let unused = table.own_demand(at(301_000)).len();

    assert_eq!((used, unused), (100, 0));
}

/// Pattern: the more urgent requests can't use the room, since their VM is frozen or their servers
/// are excluded. The room must not lie idle for longer than their VM needs to take it.
#[test]
fn room_that_nobody_takes_is_used_after_a_short_time() {
    let mut give_way = GiveWay::default();
    let mut gives_way =
        |room, millis| give_way.gives_way(LONG_TOKENS, SHORT_TOKENS, room, at(millis));

    assert!(gives_way(LONG_TOKENS, 0));
    assert!(gives_way(LONG_TOKENS, 40));
    assert!(!gives_way(LONG_TOKENS, 60));
}

/// Pattern: the more urgent requests take the room. The request gives way anew at the next room.
#[test]
fn giving_way_begins_anew_when_the_room_was_taken() {
    let mut give_way = GiveWay::default();
    let mut gives_way =
        |room, millis| give_way.gives_way(LONG_TOKENS, SHORT_TOKENS, room, at(millis));

    assert!(gives_way(LONG_TOKENS, 0));
    assert!(!gives_way(0, 20), "there is nothing to leave");
    assert!(gives_way(LONG_TOKENS, 100));
}

/// Pattern: enough room for all. Giving way would delay requests for nothing.
#[test]
fn request_does_not_give_way_while_there_is_room_for_all() {
    let mut give_way = GiveWay::default();

    assert!(!give_way.gives_way(LONG_TOKENS, SHORT_TOKENS, LONG_TOKENS + SHORT_TOKENS, at(0)));
}
