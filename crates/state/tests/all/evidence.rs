//! Request counters per model version: guards against double counting and unbounded memory.

use dragonflycart_core::{Incarnation, ModelName, RouteName, VersionName, WallTime};
use dragonflycart_state::{EvidenceCounts, EvidenceStore, EvidenceSubject};

use crate::support::hour;

fn subject(version: &str) -> EvidenceSubject {
    EvidenceSubject {
        model: ModelName::new("model").expect("the name is valid"),
        version: VersionName::new(version).expect("the name is valid"),
        route: RouteName::new("report").expect("the name is valid"),
    }
}

fn one_failure() -> EvidenceCounts {
    EvidenceCounts { finished: 1, failed: 1, slow: 0 }
}

fn total(store: &EvidenceStore) -> EvidenceCounts {
    store.total(&subject("v2"), 0..u64::MAX)
}

/// Guards against requests that are counted twice because a message is repeated, arrives out of
/// order or is relayed by another VM.
#[test]
fn repeated_and_relayed_counters_count_once() {
    let mut origin = EvidenceStore::default();
    let mut relay = EvidenceStore::default();
    let mut target = EvidenceStore::default();
    origin.count(Incarnation(1), subject("v2"), one_failure(), hour(0));
    let early = origin.to_wire(0);
    origin.count(Incarnation(1), subject("v2"), one_failure(), hour(0));
    target.count(Incarnation(2), subject("v2"), one_failure(), hour(0));

    for message in origin.to_wire(0).iter().chain(&early) {
        relay.merge(message, hour(0));
        target.merge(message, hour(0));
    }
    for message in relay.to_wire(0) {
        target.merge(&message, hour(0));
    }

    assert_eq!(total(&target), EvidenceCounts { finished: 3, failed: 3, slow: 0 });
}

/// Guards against decisions about a version from old counters, and against an old bucket of which a
/// peer sends back a part.
#[test]
fn old_buckets_are_removed_and_stay_so() {
    let mut store = EvidenceStore::default();
    store.count(Incarnation(1), subject("v2"), one_failure(), hour(0));
    let old = store.to_wire(0);

    store.count(Incarnation(1), subject("v3"), one_failure(), hour(3));
    for message in &old {
        store.merge(message, hour(3));
    }

    assert_eq!(total(&store), EvidenceCounts::default());
    assert_eq!(store.len(), 1);
}

/// Guards against a peer with a wrong clock whose buckets would never expire.
#[test]
fn buckets_of_the_future_are_ignored() {
    let mut ahead = EvidenceStore::default();
    ahead.count(Incarnation(1), subject("v2"), one_failure(), hour(5));
    let mut store = EvidenceStore::default();

    for message in ahead.to_wire(0) {
        store.merge(&message, hour(0));
    }

    assert!(store.is_empty());
}

/// Guards against memory that grows with the number of VMs.
#[test]
fn counters_are_bounded() {
    let mut store = EvidenceStore::default();
    for number in 0..40_000_u64 {
        let now = WallTime::from_unix_millis(hour(0).as_unix_millis() + number * 100);
        let own = Incarnation(u128::from(number) + 1);
        store.count(own, subject("v2"), one_failure(), now);
    }

    assert!(store.len() <= 32_768);
    assert!(store.len() >= 32_000, "only the oldest bucket is removed");
}
