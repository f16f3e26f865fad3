//! Soak test: real gateway processes under random faults, checked by comparing what callers
//! received with what runners executed.
//!
//! `SOAK_SEEDS=FIRST..LAST` runs further seeds; `SOAK_SECONDS` sets the duration of each run.

mod soak_fleet;
mod soak_outcome;
mod soak_schedule;

use std::{ops::Range, time::Duration};

use self::{soak_fleet::SoakFleet, soak_outcome::SoakOutcome, soak_schedule::SoakSchedule};

/// Seeds that run every time. Add a seed that failed here, with a line on its cause.
const REGRESSION_SEEDS: [u64; 3] = [1, 2, 3];
/// Percentage of requests whose response runners drop, besides the faults of the schedule.
const LOST_RESPONSE_PERCENT: u64 = 3;
/// Duration of a run in CI, which doesn't set `SOAK_SECONDS`.
const DEFAULT_SECONDS: u64 = 8;

fn extra_seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return 0..0 };
    let (first, last) = text.split_once("..").expect("SOAK_SEEDS is FIRST..LAST");
    let parse = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS holds two numbers");
    parse(first)..parse(last)
}

fn seconds() -> u64 {
    match std::env::var("SOAK_SECONDS") {
        Ok(text) => text.parse().expect("SOAK_SECONDS is a number"),
        Err(_) => DEFAULT_SECONDS,
    }
}

async fn run_seed(seed: u64) -> SoakOutcome {
    let schedule = SoakSchedule::new(seed, Duration::from_secs(seconds()));
    let mut fleet = SoakFleet::start(seed, LOST_RESPONSE_PERCENT).await;
    fleet.run(&schedule).await;
    let outcome = fleet.close().await;
    println!("seed {seed}: {outcome}");
    outcome
}

/// Guards against broken guarantees under any mix of faults: a request that is not idempotent runs
/// at most once, a refused one doesn't run, and a stream is complete and in order or visibly cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_under_random_faults() {
    let mut failures = Vec::new();

    for seed in REGRESSION_SEEDS.into_iter().chain(extra_seeds()) {
        let outcome = run_seed(seed).await;
        if !outcome.violations.is_empty() {
            failures.push(format!("seed {seed}: {:?}", outcome.violations));
        }
        assert!(outcome.served > 0, "seed {seed}: nothing was served");
    }

    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against requests that fail without faults, which would make the checks above prove
/// little.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn everything_is_served_without_faults() {
    let schedule = SoakSchedule::without_faults(Duration::from_secs(4));
    let mut fleet = SoakFleet::start(0, 0).await;

    fleet.run(&schedule).await;
    let outcome = fleet.close().await;

    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert_eq!(outcome.served, outcome.sent, "{outcome}");
}
