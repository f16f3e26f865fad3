//! Weighted fair queueing: share bounds and work conservation.

mod support;

use std::collections::BTreeMap;

use dragonflycart_policy::{FairQueue, PriorityClass, QueuedRequest, RequestTicket, TeamKey};
use proptest::prelude::*;
use support::at;

fn queued(ticket: u64, team: u32, class: PriorityClass, cost: u32) -> QueuedRequest {
    let (ticket, team) = (RequestTicket(ticket), TeamKey(team));
    QueuedRequest { ticket, team, class, cost, deadline: None }
}

fn class(number: usize) -> PriorityClass {
    PriorityClass::ALL[number % 3]
}

proptest! {
    /// Guards against a team that gets more than its share while others wait: while both wait, the
    /// served costs of two teams, divided by their weights, differ by at most one request of each.
    #[test]
    fn waiting_teams_are_served_by_weight(
        weights in proptest::collection::vec(1_u32..5, 2..6),
        costs in proptest::collection::vec(1_u32..2_000, 300),
        pops in 1_usize..150,
    ) {
        let mut queue = FairQueue::new([16, 4, 1]);
        for (team, weight) in weights.iter().enumerate() {
            queue.set_team_weight(TeamKey(team as u32), *weight);
        }
        // Each team has as many requests as there are pops, so that no queue becomes empty.
        let mut ticket = 0;
        for team in 0..weights.len() as u32 {
            for position in 0..pops {
                let cost = costs[(position * 7 + team as usize * 31) % costs.len()];
                queue.push(queued(ticket, team, PriorityClass::Standard, cost));
                ticket += 1;
            }
        }
        let mut served: BTreeMap<u32, f64> = BTreeMap::new();
        for _ in 0..pops {
            let request = queue.pop_with(|_| true).unwrap();
            *served.entry(request.team.0).or_default() += f64::from(request.cost);
        }
        let by_weight: Vec<f64> = weights
            .iter()
            .enumerate()
            .map(|(team, weight)| {
                served.get(&(team as u32)).copied().unwrap_or(0.0) / f64::from(*weight)
            })
            .collect();
        for (first, a) in by_weight.iter().enumerate() {
            for (second, b) in by_weight.iter().enumerate() {
                let bound =
                    2_000.0 / f64::from(weights[first]) + 2_000.0 / f64::from(weights[second]);
                prop_assert!((a - b).abs() <= bound, "{a} {b} {bound}");
            }
        }
    }

    /// Guards against idle capacity while requests wait: a caller that accepts everything gets
    /// every waiting request, whatever was taken or removed before.
    #[test]
    fn nothing_is_held_back(
        steps in proptest::collection::vec((0_u8..4, 0_u32..5, 0_usize..3, 1_u32..3_000), 1..200),
    ) {
        let mut queue = FairQueue::new([16, 4, 1]);
        let mut waiting = std::collections::BTreeSet::new();
        for (ticket, (action, team, number, cost)) in steps.iter().enumerate() {
            let ticket = ticket as u64;
            match action {
                0 | 1 => {
                    queue.push(queued(ticket, *team, class(*number), *cost));
                    waiting.insert(RequestTicket(ticket));
                }
                2 => {
                    let popped = queue.pop_with(|_| true);
                    prop_assert_eq!(popped.is_some(), !waiting.is_empty());
                    if let Some(request) = popped {
                        waiting.remove(&request.ticket);
                        queue.correct(request.class, request.team, request.cost, cost / 2);
                    }
                }
                _ => {
                    if let Some(first) = waiting.pop_first() {
                        prop_assert!(queue.remove(first).is_some());
                    }
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
        }
        while let Some(request) = queue.pop_with(|_| true) {
            waiting.remove(&request.ticket);
        }
        prop_assert!(waiting.is_empty());
        prop_assert!(queue.is_empty());
    }

    /// Guards against a request that can be placed but is blocked by others that can't: the only
    /// acceptable request is found if it is the first of its team.
    #[test]
    fn placeable_request_is_found_behind_others(
        teams in 1_u32..16,
        chosen in 0_u32..16,
        number in 0_usize..3,
    ) {
        let mut queue = FairQueue::new([16, 4, 1]);
        for team in 0..teams {
            for class in PriorityClass::ALL {
                let ticket = u64::from(team) * 3 + class as u64;
                queue.push(queued(ticket, team, class, 100));
            }
        }
        let wanted = RequestTicket(u64::from(chosen % teams) * 3 + class(number) as u64);
        let found = queue.pop_with(|request| request.ticket == wanted);
        prop_assert_eq!(found.map(|request| request.ticket), Some(wanted));
    }
}

/// Guards against a team that accumulates credit while it is idle and then takes all capacity.
#[test]
fn idle_team_gets_no_credit() {
    let mut queue = FairQueue::new([16, 4, 1]);
    for ticket in 0..100 {
        queue.push(queued(ticket, 0, PriorityClass::Standard, 100));
    }
    for _ in 0..50 {
        queue.pop_with(|_| true);
    }
    for ticket in 100..200 {
        queue.push(queued(ticket, 1, PriorityClass::Standard, 100));
    }
    let mut late_team = 0;
    for _ in 0..20 {
        late_team += queue.pop_with(|_| true).unwrap().team.0;
    }
    assert!((9..=11).contains(&late_team), "{late_team} of 20");
}

/// Guards against starvation of batch requests by interactive ones, and the reverse.
#[test]
fn classes_share_by_weight() {
    let mut queue = FairQueue::new([16, 4, 1]);
    for ticket in 0..600 {
        queue.push(queued(ticket, 0, class(ticket as usize), 100));
    }
    let mut counts = [0; 3];
    for _ in 0..210 {
        counts[queue.pop_with(|_| true).unwrap().class as usize] += 1;
    }
    assert!((155..=165).contains(&counts[0]), "{counts:?}");
    assert!((8..=12).contains(&counts[2]), "{counts:?}");
}

/// Guards against starting an expired request.
#[test]
fn expired_requests_are_removed_in_order() {
    let mut queue = FairQueue::new([16, 4, 1]);
    for (ticket, deadline) in [(1, 300), (2, 100), (3, 200)] {
        let mut request = queued(ticket, 0, PriorityClass::Batch, 10);
        request.deadline = Some(at(deadline));
        queue.push(request);
    }
    assert_eq!(queue.pop_expired(at(99)), None);
    assert_eq!(queue.pop_expired(at(250)).unwrap().ticket, RequestTicket(2));
    assert_eq!(queue.pop_expired(at(250)).unwrap().ticket, RequestTicket(3));
    assert_eq!(queue.pop_expired(at(250)), None);
    assert_eq!(queue.len(), 1);
}
