//! Soak test: real gateway processes under random faults, checked by comparing what callers
//! received with what runners executed.
//!
//! `SOAK_SEEDS=FIRST..LAST` runs further seeds, with streams at all gateways; `SOAK_SECONDS` sets the
//! duration of each run.

mod gateway_choice;
mod overlap_check;
mod soak_disruptions;
mod soak_fleet;
mod soak_outcome;
mod soak_schedule;

use std::time::{Duration, Instant};

use dragonflycart_standins::{RunPart, WorkSpan};

use self::{
    gateway_choice::GatewayChoice,
    overlap_check::{OverlapExcuses, find_overlap},
    soak_fleet::{RunnerFaults, SoakFleet},
    soak_outcome::SoakOutcome,
    soak_schedule::SoakSchedule,
};
use crate::support::extra_seeds;

/// Seeds that run every time, and the choice of the gateway with which they do. Add a seed that failed
/// here, with a line on its cause.
///
/// - 1: a cut stream goes on at an engine whose head comes late, while the engine before works on. Also
///   a resumable stream that is started again and moved, while its silent first run works on, which is
///   allowed.
/// - 2, 3: the same with a silent stream.
/// - 92004: the same with an engine that drains.
/// - 1, spread: streams at all gateways.
const REGRESSION_RUNS: [(u64, GatewayChoice); 5] = [
    (1, GatewayChoice::ByNumber),
    (2, GatewayChoice::ByNumber),
    (3, GatewayChoice::ByNumber),
    (92_004, GatewayChoice::ByNumber),
    (1, GatewayChoice::Spread),
];
/// Faults of runners, besides those of the schedule.
const RUNNER_FAULTS: RunnerFaults =
    RunnerFaults { lost_response_percent: 3, late_head_percent: 40, silent_percent: 5 };
/// Duration of a run in CI, which doesn't set `SOAK_SECONDS`.
const DEFAULT_SECONDS: u64 = 8;

fn seconds() -> u64 {
    match std::env::var("SOAK_SECONDS") {
        Ok(text) => text.parse().expect("SOAK_SECONDS is a number"),
        Err(_) => DEFAULT_SECONDS,
    }
}

/// Builds a part of a generation that worked from `start_ms` to `end_ms` after `base`.
fn part(base: Instant, runner: &str, is_resumed: bool, start_ms: u64, end_ms: u64) -> RunPart {
    RunPart { runner: runner.to_owned(), is_resumed, work: span(base, start_ms, end_ms) }
}

fn span(base: Instant, start_ms: u64, end_ms: u64) -> WorkSpan {
    WorkSpan {
        start: base + Duration::from_millis(start_ms),
        end: base + Duration::from_millis(end_ms),
    }
}

async fn run_seed(seed: u64, choice: GatewayChoice) -> SoakOutcome {
    let schedule = SoakSchedule::new(seed, Duration::from_secs(seconds()));
    let mut fleet = SoakFleet::start(seed, RUNNER_FAULTS, choice).await;
    fleet.run(&schedule).await;
    let outcome = fleet.close().await;
    println!("seed {seed}, {choice:?}: {outcome}");
    for line in outcome.violations.iter().chain(&outcome.excused) {
        println!("seed {seed}: {line}");
    }
    outcome
}

/// Guards against broken guarantees under any mix of faults: a request that is not idempotent runs
/// at most once, a refused one doesn't run, and a stream is complete and in order or visibly cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_under_random_faults() {
    let mut failures = Vec::new();

    let extra = extra_seeds("SOAK_SEEDS").map(|seed| (seed, GatewayChoice::Spread));
    for (seed, choice) in REGRESSION_RUNS.into_iter().chain(extra) {
        let outcome = run_seed(seed, choice).await;
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
    let mut fleet = SoakFleet::start(0, RunnerFaults::default(), GatewayChoice::Spread).await;

    fleet.run(&schedule).await;
    let outcome = fleet.close().await;

    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert_eq!(outcome.served, outcome.sent, "{outcome}");
}

/// Guards against a check that misses two runners at work on a generation, or counts those that work
/// together for the 400 ms allowed.
#[test]
fn overlap_beyond_the_time_allowed_is_found() {
    let base = Instant::now();
    let none = OverlapExcuses::default();
    let overlapping = |end_ms| [part(base, "a", false, 0, end_ms), part(base, "b", true, 500, 600)];

    assert_eq!(find_overlap(&overlapping(900), none), None);
    assert!(find_overlap(&overlapping(901), none).is_some());
    // A runner doesn't overlap with itself, and not only the one just before counts.
    let [first, second] = overlapping(1_500);
    let third = part(base, "a", true, 700, 1_500);
    assert_eq!(find_overlap(&[first.clone(), third], none), None);
    let short = part(base, "b", true, 500, 600);
    let later = part(base, "c", true, 650, 1_500);
    assert!(find_overlap(&[part(base, "a", false, 0, 1_100), short, later], none).is_some());
    assert!(find_overlap(&[first, second], none).is_some());
}

/// Guards against a check that takes an earlier run of a resumable stream, which may work on, for the
/// runner at which a later run goes on, and against one that misses the overlap within that run.
#[test]
fn overlap_is_found_within_one_run() {
    let base = Instant::now();
    let earlier = part(base, "a", false, 0, 9_000);
    let run = |end_ms| [part(base, "b", false, 500, end_ms), part(base, "c", true, 600, 2_000)];
    let find = |[start, resumed]: [RunPart; 2]| {
        find_overlap(&[earlier.clone(), start, resumed], OverlapExcuses::default())
    };

    assert_eq!(find(run(1_000)), None);
    assert!(find(run(1_001)).is_some());
}

/// Guards against a check that excuses more than a gateway or runner that could not be reached in the
/// `contact_ms` before the moment, such as another runner or a disruption that begins later.
#[test]
fn overlap_is_excused_only_while_the_runner_before_cannot_be_told() {
    let base = Instant::now();
    let parts = [part(base, "a", false, 0, 9_000), part(base, "b", true, 4_000, 9_000)];
    let find = |gateway: &[WorkSpan], unreachable: &[(String, WorkSpan)]| {
        find_overlap(&parts, OverlapExcuses { gateway, unreachable })
    };
    let runner = |id: &str, start_ms, end_ms| [(id.to_owned(), span(base, start_ms, end_ms))];

    // Until 9 s, also by two disruptions that overlap with the time after each other.
    assert_eq!(find(&[span(base, 4_000, 6_000)], &[]), None);
    assert_eq!(find(&[], &runner("a", 4_000, 6_000)), None);
    assert_eq!(find(&[span(base, 1_000, 2_000)], &runner("a", 4_900, 6_000)), None);

    // It works on when it can be reached again.
    assert!(find(&[span(base, 4_000, 5_999)], &[]).is_some());
    assert!(find(&[], &runner("a", 4_000, 5_999)).is_some());
    // Another runner, over before, or begun later.
    assert!(find(&[], &runner("b", 4_000, 6_000)).is_some());
    assert!(find(&[span(base, 1_000, 1_399)], &[]).is_some());
    assert!(find(&[], &runner("a", 4_401, 6_000)).is_some());
}
