//! Cold-start slots: the limit holds in the sum over all VMs, whatever their views are.

mod support;

use std::time::Duration;

use dragonflycart_core::{Incarnation, MonoTime, ServerInstance, ServerName, VmOrdinal};
use dragonflycart_policy::{ColdSlots, ServerKey};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::at;

const SERVER: ServerKey = ServerKey::from_index(0);
const FRESHNESS: Duration = Duration::from_secs(1);
/// Step of the model, in milliseconds. Requests reach the server within one step.
const STEP: u64 = 50;
/// Longest time for which the server holds back a report, in steps.
const REPORT_LAG: usize = 8;

fn name() -> ServerName {
    ServerName::new("engine-0").unwrap()
}

/// State of the server at one time.
#[derive(Clone)]
struct ServerMoment {
    instance: u64,
    limit: u32,
    by_ordinal: Vec<u32>,
}

struct VmView {
    slots: ColdSlots,
    instance: u64,
    limit: u32,
    own: u32,
    paused_until: u64,
}

fn fresh_slots(ordinal: usize, vms: usize, incarnation: u128, now: MonoTime) -> ColdSlots {
    ColdSlots::new(VmOrdinal(ordinal as u16), vms as u16, Incarnation(incarnation), FRESHNESS, now)
}

/// Runs VMs with late and different views against one server. Returns the highest number of
/// requests over the limit and the number of requests that were started.
fn run_model(seed: u64, vms: usize) -> (u32, u32) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut views: Vec<VmView> = Vec::new();
    for ordinal in 0..vms {
        let slots = fresh_slots(ordinal, vms, 1, at(0));
        views.push(VmView { slots, instance: 0, limit: 0, own: 0, paused_until: 0 });
    }
    let mut server = ServerMoment { instance: 1, limit: 2, by_ordinal: vec![0; vms] };
    let mut history = vec![server.clone()];
    let mut started_at = 0;
    let (mut excess, mut started) = (0, 0);
    for step in 1..1_200_u64 {
        let now = step * STEP;
        if random.random_bool(0.003) {
            server = ServerMoment {
                instance: server.instance + 1,
                limit: random.random_range(1..4),
                by_ordinal: vec![0; vms],
            };
            started_at = now;
        } else if now - started_at > 4_000 {
            server.limit = (server.limit * 2).min(16);
            started_at = now;
        }
        for (ordinal, view) in views.iter_mut().enumerate() {
            // The server ends requests before the VM learns of it.
            if server.by_ordinal[ordinal] > 0 && random.random_bool(0.1) {
                server.by_ordinal[ordinal] -= 1;
            }
            if now < view.paused_until {
                continue;
            }
            if view.paused_until > 0 {
                view.paused_until = 0;
                view.slots.pause_ended(at(now));
            }
            if random.random_bool(0.002) {
                view.paused_until = now + random.random_range(1_100..4_000);
                continue;
            }
            if random.random_bool(0.002) {
                view.slots = fresh_slots(ordinal, vms, u128::from(now), at(now));
                view.own = 0;
            }
            if view.own > server.by_ordinal[ordinal] && random.random_bool(0.3) {
                view.own -= 1;
            }
            if random.random_bool(0.2) {
                let lag = random.random_range(0..REPORT_LAG.min(history.len()));
                let seen = &history[history.len() - 1 - lag];
                let taken_at = at(now) - Duration::from_millis(STEP * (REPORT_LAG as u64 + 1));
                let counts = (seen.by_ordinal[ordinal], view.own);
                let instance = ServerInstance(seen.instance);
                view.slots.observe(SERVER, instance, taken_at, counts, at(now));
                view.slots.prepare(SERVER, &name(), seen.limit);
                view.limit = seen.limit;
                view.instance = seen.instance;
            }
            while view.slots.has_free(SERVER, view.limit, view.own, at(now)) {
                view.own += 1;
                // A request is sent only over a connection to the instance that the decision
                // names, so it can't reach a later instance.
                if view.instance == server.instance {
                    server.by_ordinal[ordinal] += 1;
                    started += 1;
                }
            }
        }
        let running: u32 = server.by_ordinal.iter().sum();
        excess = excess.max(running.saturating_sub(server.limit));
        history.push(server.clone());
    }
    (excess, started)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against a cold server that gets more requests than it can handle because VMs have
    /// different views of its instance and limit, restart, or were paused.
    #[test]
    fn sum_over_all_vms_stays_within_the_limit(seed in any::<u64>(), vms in 1_usize..10) {
        let (excess, _) = run_model(seed, vms);
        prop_assert_eq!(excess, 0);
    }

    /// Guards against a slot that no VM or more than one VM may use.
    #[test]
    fn every_slot_has_one_owner(instance in any::<u64>(), vms in 1_usize..60, limit in 0_u32..64) {
        let mut owned = 0;
        for ordinal in 0..vms {
            let mut slots = fresh_slots(ordinal, vms, 1, at(0));
            slots.observe(SERVER, ServerInstance(instance), at(0), (0, 0), at(0));
            slots.observe(SERVER, ServerInstance(instance), at(2_000), (0, 0), at(2_000));
            slots.prepare(SERVER, &name(), limit);
            let mut own = 0;
            while slots.has_free(SERVER, limit, own, at(2_000)) {
                own += 1;
            }
            owned += own;
        }
        prop_assert_eq!(owned, limit);
    }
}

/// Guards against a model of the test above in which slots are never used.
#[test]
fn slots_are_used() {
    let started: u32 = (0..20).map(|seed| run_model(seed, 8).1).sum();
    assert!(started > 1_000, "only {started} requests were started");
}

/// Guards against a replaced VM that keeps using the slots of its seat.
#[test]
fn newer_incarnation_takes_the_slots() {
    let mut slots = fresh_slots(0, 1, 5, at(0));
    slots.observe(SERVER, ServerInstance(1), at(0), (0, 0), at(0));
    slots.observe(SERVER, ServerInstance(1), at(2_000), (0, 0), at(2_000));
    slots.prepare(SERVER, &name(), 1);
    assert!(slots.has_free(SERVER, 1, 0, at(2_000)));

    slots.observe_incarnation(Incarnation(4));
    assert!(slots.has_free(SERVER, 1, 0, at(2_000)));

    slots.observe_incarnation(Incarnation(6));
    assert!(!slots.has_free(SERVER, 1, 0, at(2_000)));
}

/// Guards against a restarted VM that forgets the requests of its earlier run.
#[test]
fn restarted_vm_waits_for_the_requests_of_its_ordinal() {
    let mut slots = fresh_slots(0, 1, 1, at(10_000));
    slots.observe(SERVER, ServerInstance(1), at(10_100), (1, 0), at(10_100));
    slots.prepare(SERVER, &name(), 1);
    slots.observe(SERVER, ServerInstance(1), at(12_000), (1, 0), at(12_000));
    assert!(!slots.has_free(SERVER, 1, 0, at(12_000)));

    slots.observe(SERVER, ServerInstance(1), at(12_200), (0, 0), at(12_200));
    assert!(slots.has_free(SERVER, 1, 0, at(12_200)));
}

/// Guards against a report that was taken before the pause and read after it.
#[test]
fn report_from_before_a_pause_does_not_count() {
    let mut slots = fresh_slots(0, 1, 1, at(0));
    slots.observe(SERVER, ServerInstance(1), at(0), (0, 0), at(0));
    slots.prepare(SERVER, &name(), 1);
    slots.pause_ended(at(5_000));
    slots.observe(SERVER, ServerInstance(1), at(4_900), (0, 0), at(5_010));
    assert!(!slots.has_free(SERVER, 1, 0, at(5_010)));

    slots.observe(SERVER, ServerInstance(1), at(5_020), (0, 0), at(5_030));
    assert!(slots.has_free(SERVER, 1, 0, at(5_030)));
}
