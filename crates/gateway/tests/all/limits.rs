//! Limits that must hold for the sum over all VMs, and memory limits.

use std::{collections::BTreeSet, time::Duration};

use dragonflycart_gateway::{BodyBudget, RateLimiter, RetryBudget};

use crate::fixtures::{ENGINES, at, query, record, report, view};

const WINDOW: Duration = Duration::from_secs(10);

/// If each VM used the whole allowance, the sum over all VMs would exceed it.
#[test]
fn retries_of_all_vms_stay_within_the_allowance() {
    let vm_count = 58;
    let mut sum = 0;

    for _ in 0..vm_count {
        let mut retries = RetryBudget::new(WINDOW);
        while retries.take_retry(0.2, 156.0, vm_count, at(0)) {
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
    let mut retries = RetryBudget::new(WINDOW);
    for index in 0..100 {
        retries.note_request(at(index * 10));
    }

    let mut granted = 0;
    while retries.take_retry(0.2, 0.0, 1, at(1_000)) {
        granted += 1;
    }

    assert!((10..=20).contains(&granted), "{granted}");
    assert!(!retries.take_retry(0.2, 0.0, 1, at(9_000)));
    assert!(!retries.take_retry(0.2, 0.0, 1, at(12_000)), "the requests are out of the window");
}

/// Moves of generations are never refused, but they reduce the budget for other retries.
#[test]
fn forced_retries_count() {
    let mut retries = RetryBudget::new(WINDOW);
    for _ in 0..20 {
        retries.note_retry(at(0));
    }

    assert!(!retries.take_retry(0.0, 10.0, 1, at(1)));
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
        view.vm_count = vm_count;
        let mut cold = record(ENGINES, "a", 8_100);
        cold.cold_left = Duration::from_secs(60);
        view.apply_server("cold", cold, 9, at(0));
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
