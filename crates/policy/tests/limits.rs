//! Limits of zones, retries, queues and deadlines.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use dragonflycart_core::{ErrorKind, ServerName, TeamName, VmOrdinal, ZoneName};
use dragonflycart_policy::{
    AttemptFailure, ColdSignal, PlacementDecision, PriorityClass, RetryBudget, RetrySubset,
    ServerKey, TokenProgress, ZoneLimits,
};
use proptest::prelude::*;
use support::{at, dispatches, report, request, seconds, settings, single_vm, zone};

proptest! {
    /// Guards against a zone whose VMs together get more than its concurrency limit, or less
    /// although all VMs are running.
    #[test]
    fn parts_of_the_concurrency_limit_sum_up(
        limit in 0_u32..5_000,
        zones in 1_u16..5,
        ordinal_count in 1_u16..20,
    ) {
        let mut all = Vec::new();
        for number in 0..zones {
            let name = ZoneName::new(&format!("zone-{number}")).unwrap();
            for ordinal in 0..ordinal_count {
                all.push((name.clone(), VmOrdinal(ordinal)));
            }
        }
        let mut sum = 0;
        for (name, ordinal) in &all {
            sum += ZoneLimits::part_of_ordinal(&zone(), limit, &all, (name, *ordinal));
        }
        prop_assert_eq!(sum, limit);
    }
}

/// Guards against a zone that gets its full load at once when it returns to service.
#[test]
fn returned_zone_ramps_up() {
    let mut settings = settings(1);
    settings.zone_ramp = seconds(10);
    let (mut scheduler, keys) = single_vm(settings, 4);
    scheduler.set_zone(at(0), &zone(), true, 20);
    scheduler.set_zone(at(1), &zone(), false, 20);
    for key in &keys {
        scheduler.report(at(1), *key, report(at(1)));
    }
    for _ in 0..40 {
        scheduler.submit(at(2), request("a"));
    }
    assert!(dispatches(&scheduler.tick(at(2))).is_empty());

    scheduler.set_zone(at(100), &zone(), true, 20);
    let mut sent = 0;
    for (millis, expected) in [(110, 0), (2_600, 5), (5_100, 10), (10_100, 20), (20_000, 20)] {
        for key in &keys {
            scheduler.report(at(millis), *key, report(at(millis)));
        }
        sent += dispatches(&scheduler.tick(at(millis))).len();
        assert_eq!(sent, expected, "at {millis} ms");
    }
}

/// Guards against retries that exceed their share of the requests when all requests fail.
#[test]
fn retry_budget_bounds_retries() {
    let mut budget = RetryBudget::new(0.1);
    let mut retries = 0;
    for request in 0..10_000 {
        let now = at(request);
        budget.deposit(now);
        budget.refill(now);
        while budget.withdraw() {
            retries += 1;
        }
    }
    assert!((990..=1_010).contains(&retries), "{retries}");
}

/// Guards against requests that fail at the end of a busy period and whose retries then wait for
/// new traffic to refill the budget.
#[test]
fn retry_budget_fills_while_the_vm_is_idle() {
    let mut budget = RetryBudget::new(0.1);
    budget.deposit(at(0));
    while budget.withdraw() {}

    budget.refill(at(500));
    let busy = budget.withdraw();
    budget.refill(at(2_000));
    let idle = budget.withdraw();

    assert!(!busy);
    assert!(idle);
}

/// Guards against a retry subset that changes when an unrelated server is added.
#[test]
fn retry_subset_is_stable() {
    let team = TeamName::new("a").unwrap();
    let servers = |count: usize| {
        (0..count).map(|number| {
            (ServerKey::from_index(number), ServerName::new(&format!("s{number}")).unwrap())
        })
    };
    let before = RetrySubset::select(&team, "pool", servers(20), 4);
    let after = RetrySubset::select(&team, "pool", servers(21), 4);
    let kept = before.servers().iter().filter(|server| after.contains(**server)).count();
    assert_eq!(before.servers().len(), 4);
    assert!(kept >= 3, "{kept} of 4");
}

/// Guards against a request that reaches servers other than its first one and its retry subset.
#[test]
fn retries_stay_in_the_subset() {
    let mut settings = settings(1);
    settings.retry_subset = 2;
    let (mut scheduler, keys) = single_vm(settings, 12);
    let mut used = BTreeSet::new();
    for round in 0..60 {
        let now = at(round * 100);
        for key in &keys {
            scheduler.report(now, *key, report(now));
        }
        let ticket = scheduler.submit(now, request("a"));
        scheduler.tick(now);
        scheduler.failed(now, ticket, AttemptFailure::Refused);
        for (_, server) in dispatches(&scheduler.tick(now)) {
            used.insert(server);
        }
    }
    assert!(used.len() <= 2, "{used:?}");
    assert!(!used.is_empty());
}

/// Guards against a large team that fills the queue and blocks small teams.
#[test]
fn full_queue_is_shared_by_teams() {
    let mut settings = settings(1);
    settings.queue_limit = 10;
    let (mut scheduler, keys) = single_vm(settings, 1);
    let mut full = report(at(1));
    full.memory_used_tokens = 99_000;
    full.running = 30;
    scheduler.report(at(1), keys[0], full);
    for _ in 0..11 {
        scheduler.submit(at(2), request("large"));
    }
    let rejected = scheduler.tick(at(2));
    assert_eq!(rejected.len(), 1);

    scheduler.submit(at(3), request("small"));
    let displaced = scheduler.tick(at(3));
    assert!(matches!(
        displaced[..],
        [PlacementDecision::Reject { kind: ErrorKind::TeamLimited, .. }]
    ));
    assert_eq!(scheduler.waiting(), 10);
}

/// Guards against a request that waits although it can't succeed, and against a wrong error kind.
#[test]
fn hopeless_requests_are_rejected_at_once() {
    let (mut scheduler, keys) = single_vm(settings(1), 1);
    let early = scheduler.submit(at(1), request("a"));
    scheduler.report(at(1), keys[0], report(at(1)));
    let mut large = request("a");
    large.prompt_tokens = 200_000;
    let large = scheduler.submit(at(2), large);
    let mut late = request("a");
    late.deadline = Some(at(1));
    let late = scheduler.submit(at(2), late);
    scheduler.set_draining(true);
    let draining = scheduler.submit(at(2), request("a"));

    let mut kinds = BTreeMap::new();
    for decision in scheduler.tick(at(2)) {
        if let PlacementDecision::Reject { ticket, kind } = decision {
            kinds.insert(ticket, kind);
        }
    }
    assert_eq!(kinds.get(&early), Some(&ErrorKind::NoBackend));
    assert_eq!(kinds.get(&large), Some(&ErrorKind::TooLarge));
    assert_eq!(kinds.get(&late), Some(&ErrorKind::DeadlineNotStarted));
    assert_eq!(kinds.get(&draining), Some(&ErrorKind::Draining));
}

/// Guards against a running request that occupies its server after its deadline.
#[test]
fn running_request_is_cancelled_at_its_deadline() {
    let (mut scheduler, keys) = single_vm(settings(1), 1);
    scheduler.report(at(1), keys[0], report(at(1)));
    let mut work = request("a");
    work.deadline = Some(at(60_000));
    let ticket = scheduler.submit(at(2), work);
    assert_eq!(scheduler.tick(at(2)).len(), 1);

    let kind = ErrorKind::DeadlineExceeded;
    let expected = PlacementDecision::Cancel { ticket, server: keys[0], kind };
    assert_eq!(scheduler.tick(at(60_001)), vec![expected]);
}

/// Guards against a cold signal that has no effect, or that is cleared by a report taken before it.
#[test]
fn signal_lowers_the_limit_until_a_later_report() {
    let (mut scheduler, keys) = single_vm(settings(1), 1);
    scheduler.report(at(1), keys[0], report(at(1)));
    scheduler.signal(at(100), keys[0], ColdSignal::ConnectionReset);
    scheduler.report(at(150), keys[0], report(at(90)));
    assert!(scheduler.servers().get(keys[0]).is_cold());

    scheduler.report(at(200), keys[0], report(at(190)));
    assert!(!scheduler.servers().get(keys[0]).is_cold());
}

/// Guards against interactive requests that wait behind batch requests, and against losing a
/// preempted request.
#[test]
fn deferred_request_is_preempted_for_an_interactive_one() {
    let mut settings = settings(1);
    settings.preempt_after = Some(seconds(1));
    let (mut scheduler, keys) = single_vm(settings, 1);
    let mut single = report(at(1));
    single.concurrency_limit = 1;
    scheduler.report(at(1), keys[0], single.clone());
    let mut deferred = request("a");
    deferred.class = PriorityClass::Batch;
    let deferred = scheduler.submit(at(2), deferred);
    assert_eq!(dispatches(&scheduler.tick(at(2))).len(), 1);
    let urgent = scheduler.submit(at(3), request("b"));
    assert!(scheduler.tick(at(10)).is_empty());

    let expected = PlacementDecision::Preempt { ticket: deferred, server: keys[0] };
    assert_eq!(scheduler.tick(at(1_003)), vec![expected]);
    assert_eq!(dispatches(&scheduler.tick(at(1_004))), vec![(urgent, keys[0])]);
    assert_eq!(scheduler.waiting(), 1);
}

/// Guards against overloading one server between two reports: sent requests count at once.
#[test]
fn requests_sent_since_the_report_count() {
    let (mut scheduler, keys) = single_vm(settings(1), 1);
    scheduler.report(at(1), keys[0], report(at(1)));
    for _ in 0..100 {
        scheduler.submit(at(2), request("a"));
    }
    assert_eq!(dispatches(&scheduler.tick(at(2))).len(), 32);
    assert_eq!(scheduler.waiting(), 68);
}

/// Guards against overloading a server that turned cold without a restart: requests that other
/// zones still run there reduce the slots that may be used.
#[test]
fn requests_of_other_zones_take_cold_slots() {
    for (foreign, expected) in [(0, 4), (3, 1), (4, 0)] {
        let (mut scheduler, keys) = single_vm(settings(1), 1);
        let other = ZoneName::new("bauska").unwrap();
        for millis in [0, 500, 1_000, 1_500, 2_000] {
            scheduler.tick(at(millis));
            let mut cold = report(at(millis));
            cold.cold = true;
            cold.concurrency_limit = 4;
            cold.running = foreign;
            cold.running_by_ordinal = vec![(other.clone(), VmOrdinal(0), foreign)];
            scheduler.report(at(millis), keys[0], cold);
        }
        for _ in 0..10 {
            scheduler.submit(at(2_000), request("a"));
        }
        assert_eq!(dispatches(&scheduler.tick(at(2_000))).len(), expected, "{foreign}");
    }
}

/// Guards against a frozen load report that attracts all requests to one server or keeps all of
/// them away.
#[test]
fn frozen_report_is_replaced_by_own_requests() {
    let (mut scheduler, keys) = single_vm(settings(1), 2);
    let mut frozen = report(at(0));
    frozen.running = 1;
    frozen.memory_used_tokens = 500;
    let mut sent = 0;
    for step in 0..40 {
        let now = at(step * 100);
        frozen.taken_at = now;
        scheduler.report(now, keys[0], frozen.clone());
        let mut live = report(now);
        live.running = 16;
        live.memory_used_tokens = 10_000 + step;
        scheduler.report(now, keys[1], live);
        scheduler.submit(now, request("a"));
        for (_, server) in dispatches(&scheduler.tick(now)) {
            sent += usize::from(server == keys[0]);
        }
    }
    assert!(scheduler.servers().get(keys[0]).is_frozen());
    assert!(!scheduler.servers().get(keys[1]).is_frozen());
    assert!((10..=32).contains(&sent), "{sent} of 40 requests to the frozen server");
}

/// Guards against a request that is sent after the time limit of a planned stop, and against "not
/// run" for one whose server was lost.
#[test]
fn closed_queues_reject_waiting_and_failed_requests() {
    let mut settings = settings(1);
    settings.zone_ramp = seconds(0);
    let (mut scheduler, keys) = single_vm(settings, 1);
    scheduler.set_zone(at(0), &zone(), true, 2);
    scheduler.report(at(0), keys[0], report(at(0)));
    let running: Vec<_> = (0..2).map(|_| scheduler.submit(at(0), request("a"))).collect();
    let waiting = scheduler.submit(at(0), request("a"));
    assert_eq!(dispatches(&scheduler.tick(at(0))).len(), 2);

    scheduler.close_queues();
    let rejected = scheduler.tick(at(10));
    scheduler.failed(at(20), running[0], AttemptFailure::ServerLost);
    scheduler.failed(at(20), running[1], AttemptFailure::NotSent);
    let mut failed = scheduler.tick(at(20));
    failed.extend(scheduler.tick(at(1_000)));

    let reject = |ticket, kind| PlacementDecision::Reject { ticket, kind };
    assert_eq!(rejected, [reject(waiting, ErrorKind::Draining)]);
    let expected =
        [reject(running[0], ErrorKind::BackendFailed), reject(running[1], ErrorKind::Draining)];
    assert_eq!(failed, expected);
}

/// Guards against a generation that is ended by the time limit of a planned stop while it waits for
/// another server, although its caller has read a part of it.
#[test]
fn closed_queues_place_generations_that_have_output() {
    let mut settings = settings(1);
    settings.zone_ramp = seconds(0);
    let (mut scheduler, keys) = single_vm(settings, 3);
    scheduler.report(at(0), keys[0], report(at(0)));
    let running: Vec<_> = (0..2).map(|_| scheduler.submit(at(0), request("a"))).collect();
    assert_eq!(dispatches(&scheduler.tick(at(0))).len(), 2);
    let progress = running.iter().map(|ticket| TokenProgress { ticket: *ticket, tokens: 20 });
    scheduler.progress(at(10), &progress.collect::<Vec<_>>());
    scheduler.failed(at(20), running[0], AttemptFailure::ServerLost);
    assert_eq!(scheduler.tick(at(20)), []);

    scheduler.close_queues();
    scheduler.failed(at(30), running[1], AttemptFailure::ServerLost);
    let waiting = scheduler.tick(at(30));
    for key in &keys[1..] {
        scheduler.report(at(1_000), *key, report(at(1_000)));
    }
    let mut placed = dispatches(&scheduler.tick(at(1_000)));
    placed.extend(dispatches(&scheduler.tick(at(20_000))));

    assert_eq!(waiting, []);
    let mut tickets: Vec<_> = placed.iter().map(|(ticket, _)| *ticket).collect();
    tickets.sort();
    assert_eq!(tickets, running);
}
