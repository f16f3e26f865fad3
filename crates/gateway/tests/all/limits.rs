//! Limits that must hold for the sum over all VMs, and memory limits.

use std::{collections::BTreeSet, time::Duration};

use dragonflycart_gateway::{BodyBudget, RateLimiter, RetryBudget, RetryLimit, TokenDemand};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{ENGINES, at, position, query, record, report, view};

const WINDOW: Duration = Duration::from_secs(10);

fn limit(ratio: f64, allowance: f64, vm_count: usize) -> RetryLimit {
    RetryLimit { ratio, allowance: allowance / vm_count as f64 }
}

/// If each VM used the whole allowance, the sum over all VMs would exceed it.
#[test]
fn retries_of_all_vms_stay_within_the_allowance() {
    let vm_count = 58;
    let mut sum = 0;

    for _ in 0..vm_count {
        let mut retries = RetryBudget::new(WINDOW, at(0));
        while retries.take_retry(limit(0.2, 156.0, vm_count), at(10_000)) {
            sum += 1;
        }
    }

    assert!(sum <= 156, "{sum}");
    assert!(sum >= 40, "{sum}: the allowance lies idle");
}

/// Retries at the end of one fixed window and at the start of the next would both fall into one
/// sliding window.
#[test]
fn retries_follow_the_requests_of_the_window() {
    let limit = limit(0.2, 0.0, 1);
    let mut retries = RetryBudget::new(WINDOW, at(0));
    for index in 0..100 {
        retries.note_request(at(index * 10));
    }

    let mut granted = 0;
    while retries.take_retry(limit, at(1_000)) {
        granted += 1;
    }

    assert!((10..=20).contains(&granted), "{granted}");
    assert!(!retries.take_retry(limit, at(9_000)));
    assert!(!retries.take_retry(limit, at(12_000)), "the requests are out of the window");
}

/// Moves of generations reduce the budget for other retries.
#[test]
fn resumptions_count() {
    let limit = limit(0.0, 10.0, 1);
    let mut retries = RetryBudget::new(WINDOW, at(0));
    let resumed = (0..20).filter(|_| retries.take_resumption(limit, at(10_000))).count();

    assert_eq!(resumed, 10, "resumptions may use all that is allowed, and no more");
    assert!(!retries.take_retry(limit, at(10_001)));
    assert!(!retries.take_retry(limit, at(19_000)));
}

/// Guards against returns of stopped generations, which are never denied, that come on top of all
/// resumptions that are allowed (BUDGET).
#[test]
fn returns_count() {
    let limit = limit(0.0, 10.0, 1);
    let mut retries = RetryBudget::new(WINDOW, at(0));
    for _ in 0..4 {
        retries.note_resumption(limit, at(10_000));
    }
    let resumed = (0..20).filter(|_| retries.take_resumption(limit, at(10_000))).count();

    for _ in 0..4 {
        retries.note_resumption(limit, at(11_000));
    }
    let later = (0..20).filter(|_| retries.take_resumption(limit, at(20_100))).count();

    assert_eq!(resumed, 6, "returns leave less for other resumptions");
    assert!(!retries.take_retry(limit, at(10_001)));
    assert_eq!(later, 6, "returns beyond the limit count in the next window, too");
}

/// Guards against a budget that each start of a process fills again (BUDGET): VMs are killed and
/// restarted at any time while each request fails, and send as many retries as they may.
#[test]
fn retries_stay_within_the_limit_however_often_vms_restart() {
    const VMS: usize = 4;
    const REQUESTS_PER_S: u64 = 30;
    let (ratio, allowance) = (0.2, 58.0);
    for seed in 0..60_u64 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let restart_ms = random.random_range(500..6_000_u64);
        let limit = limit(ratio, allowance, VMS);
        let mut vms: Vec<RetryBudget> = (0..VMS).map(|_| RetryBudget::new(WINDOW, at(0))).collect();
        let (mut requests, mut sent): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        for tick in 0..REQUESTS_PER_S * 40 {
            let now_ms = tick * 1_000 / REQUESTS_PER_S;
            let vm = random.random_range(0..VMS);
            if random.random_range(0..restart_ms * REQUESTS_PER_S) < 1_000 * VMS as u64 {
                vms[random.random_range(0..VMS)] = RetryBudget::new(WINDOW, at(now_ms));
            }
            requests.push(now_ms);
            vms[vm].note_request(at(now_ms));
            // A request that fails everywhere is repeated several times, if that is allowed.
            for _ in 0..3 {
                if vms[vm].take_retry(limit, at(now_ms)) {
                    sent.push(now_ms);
                }
            }
        }

        for start in &sent {
            let window = *start..start + 10_000;
            let retries = sent.iter().filter(|at| window.contains(at)).count() as f64;
            let count = requests.iter().filter(|at| window.contains(at)).count() as f64;
            // Requests of the window before may count instead.
            let count = count.max(10.0 * REQUESTS_PER_S as f64);
            let allowed = ratio * count + allowance;
            assert!(retries <= allowed, "seed {seed}: {retries} of {allowed} at {start} ms");
        }
        // A process that lives for less than two seconds earns little.
        let is_served = restart_ms < 2_000 || sent.len() > 60;
        assert!(is_served, "seed {seed}: {} retries in 40 s", sent.len());
    }
}

#[test]
fn rate_is_limited_without_a_burst() {
    let mut limiter = RateLimiter::default();
    let mut taken = 0;

    for millis in 0..1_000 {
        if limiter.allows(at(millis)) {
            limiter.take(4.0, at(millis));
            taken += 1;
        }
    }

    assert_eq!(taken, 4);
}

/// A cold engine fails if all VMs together send more requests than it can handle.
#[test]
fn cold_engine_gets_its_rate_from_all_vms_together() {
    let vm_count = 9;
    let mut sum = 0;
    for _ in 0..vm_count {
        let mut view = view(&[]);
        view.sharing_vms = vm_count;
        let mut cold = record(ENGINES, "a", 8_100);
        cold.cold_left = Duration::from_secs(60);
        view.apply_server("cold", cold, position(9), at(0));
        let excluded = BTreeSet::new();
        for millis in 0..1_000 {
            if let Ok(placement) = view.place(&query(report(), &excluded), at(millis)) {
                view.release(placement.server, placement.load);
                sum += 1;
            }
        }
    }

    // The plan's limit is 38 requests per second.
    assert!(sum <= 38 + vm_count as u32, "{sum}");
    assert!(sum >= 30, "{sum}");
}

/// Without the budget, many concurrent large bodies would exceed the process's memory.
#[test]
fn bodies_share_a_part_of_the_memory() {
    let budget = BodyBudget::new(1_000);
    let mut first = budget.empty_reservation();
    let mut second = budget.empty_reservation();

    assert!(first.grow(200));
    assert!(!second.grow(100), "a quarter is 250 bytes");
    assert!(second.grow(50));
    drop(first);

    assert!(second.grow(200));
    assert!(!second.grow(1));
}

/// Guards against sums of engine memory that overflow because a caller states more tokens than any
/// engine holds.
#[test]
fn stated_tokens_are_bounded() {
    let demand = TokenDemand::estimate(u64::MAX, u64::MAX, Some(u64::MAX));

    let reserved = demand.reserved_tokens();

    assert!(reserved >= 1 << 40, "less than a large engine holds: {reserved}");
    // The requests of a VM together.
    assert!(reserved.checked_mul(1 << 20).is_some(), "{reserved}");
}
