//! Convergence of VMs: merged states and counters, and the assignment of requests to versions.

use std::collections::BTreeSet;

use dragonflycart_core::{Incarnation, MoveId, RequestKey, RouteName};
use dragonflycart_policy::{MoveCounts, MoveEvidence, MoveShares, MoveState, VersionRole};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default() }
}

fn route(number: u8) -> RouteName {
    RouteName::new(&format!("r{number}")).unwrap()
}

/// Message with counters: source, bucket, route, whether of the new version, number of requests.
type CounterMessage = (u8, u64, u8, bool, u64);

fn merge(evidence: &mut MoveEvidence, message: &CounterMessage) {
    let (source, bucket_s, number, new, count) = *message;
    let role = if new { VersionRole::New } else { VersionRole::Old };
    let counts = MoveCounts { finished: count, failed: count / 3, slow: count / 5 };
    let source = Incarnation(u128::from(source));
    evidence.merge(source, bucket_s, (&route(number), role), counts);
}

proptest! {
    #![proptest_config(config())]

    /// Guards against VMs that end in different states because the states of other VMs arrive in
    /// another order or twice.
    #[test]
    fn states_merge_the_same_in_any_order(numbers in prop::collection::vec(0u32..5, 1..8)) {
        let states: Vec<_> = numbers.iter().map(|number| MoveState::from_number(*number)).collect();
        let forward = states.iter().fold(MoveState::Running, |a, b| a.merge(*b));
        let back = states.iter().rev().chain(&states).fold(MoveState::Running, |a, b| a.merge(*b));
        prop_assert_eq!(forward, back);
        prop_assert_eq!(forward == MoveState::RolledBack, numbers.iter().any(|number| *number >= 2));
    }

    /// Guards against requests that are counted twice, or lost, when messages are repeated or
    /// reordered.
    #[test]
    fn evidence_is_the_same_for_repeated_and_reordered_messages(
        messages in
            prop::collection::vec((0u8..3, 0u64..4, 0u8..2, any::<bool>(), 1u64..50), 1..30),
        seed in any::<u64>(),
    ) {
        let (mut ordered, mut mixed) = (MoveEvidence::default(), MoveEvidence::default());
        for message in &messages {
            merge(&mut ordered, message);
        }
        let mut twice: Vec<_> = messages.iter().chain(&messages).collect();
        let middle = (seed % twice.len() as u64) as usize;
        twice.rotate_left(middle);
        twice.reverse();
        for message in twice {
            merge(&mut mixed, message);
        }
        prop_assert_eq!(ordered.take_changed(9), mixed.take_changed(9));
        prop_assert_eq!(ordered.totals(0, 9), mixed.totals(0, 9));
    }

    /// Guards against a retry that goes to the old version after the request went to the new one,
    /// although the share grew.
    #[test]
    fn a_request_keeps_the_new_version_while_the_share_grows(
        key in "[a-z0-9]{8}",
        low in 0.0f64..1.0,
        high in 0.0f64..1.0,
    ) {
        let (low, high) = (low.min(high), low.max(high));
        let (id, key) = (MoveId("m".into()), RequestKey::new(&key).unwrap());
        let small = MoveShares::uniform(low).assign(&id, &route(0), &key);
        let large = MoveShares::uniform(high).assign(&id, &route(0), &key);
        prop_assert!(small == VersionRole::Old || large == VersionRole::New);
    }
}

/// Guards against a share of requests that differs from the decided one, and against shares of
/// single routes that are ignored.
#[test]
fn the_assigned_part_matches_the_share_of_the_route() {
    let mut shares = MoveShares::uniform(0.05);
    shares.routes.insert(route(1), 0.5);
    let id = MoveId("m".into());
    let part = |route: &RouteName| {
        let keys = (0..10_000).map(|number| RequestKey::new(&format!("k{number}")).unwrap());
        keys.filter(|key| shares.assign(&id, route, key) == VersionRole::New).count()
    };

    assert!((400..600).contains(&part(&route(0))));
    assert!((4_800..5_200).contains(&part(&route(1))));
}

/// Guards against a removed bucket that a late message adds again.
#[test]
fn forgotten_buckets_stay_forgotten() {
    let mut evidence = MoveEvidence::default();
    merge(&mut evidence, &(1, 10, 0, true, 5));
    merge(&mut evidence, &(1, 20, 0, true, 5));

    evidence.forget_before(15);
    merge(&mut evidence, &(1, 10, 0, true, 9));

    let buckets: BTreeSet<u64> = evidence.take_changed(99).into_iter().map(|(s, ..)| s).collect();
    assert_eq!(buckets, [20].into());
}
