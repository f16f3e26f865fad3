//! Random fault injection into real daemon processes, with checks of the invariants.
//!
//! Each run derives its fault schedule, callers and operators from one seed. The timing of the
//! processes doesn't depend on the seed, so the same seed repeats the faults but not every race.

mod bookings;
mod fault_schedule;
mod operators;
mod streams;

use std::{env, time::Duration};

use dragonflycart_testkit::{EngineConfig, ServiceConfig};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::{sync::watch, time::Instant};

use self::fault_schedule::FaultSchedule;
use crate::support::{Deployment, DeploymentSpec, model_version, wait_for};

/// Time for which faults are injected in one run.
const INJECTION_TIME: Duration = Duration::from_secs(10);
/// Number of streaming callers, and of callers of the booking service.
const CALLERS: u64 = 6;
/// Environment variable for a longer run: the number of seeds and, after a colon, the first seed
/// (random if left out).
const RUN_VARIABLE: &str = "DRAGONFLYCART_CHAOS_RUN";
/// Number of seeds of a longer run that run at the same time.
const PARALLEL_RUNS: u64 = 2;

/// Counters of one run.
#[derive(Debug, Default)]
struct RunCounts {
    faults: usize,
    streams: usize,
    resumed: usize,
    interrupted: usize,
    keys: usize,
    executed: usize,
    not_run: usize,
    unknown: usize,
    plans: usize,
    cold_overloads: u64,
}

fn chaos_spec(seed: u64) -> DeploymentSpec {
    let engine = EngineConfig {
        loaded: vec![model_version("assistant", "v1")],
        report_lag_ms: 100,
        ..EngineConfig::default()
    };
    let supports_lookup = seed.is_multiple_of(2);
    DeploymentSpec {
        zones: 3,
        engines: 2,
        engine,
        booking: ServiceConfig { supports_lookup, delay_ms: 20, ..ServiceConfig::default() },
        peer_relays: true,
        engine_relays: true,
        ..DeploymentSpec::default()
    }
}

/// Runs one seed and checks the invariants.
async fn run_seed(seed: u64) -> RunCounts {
    let mut deployment = Deployment::start(chaos_spec(seed)).await;
    let addresses = deployment.http_addresses();
    let (stop, stopped) = watch::channel(false);
    let mut streaming = Vec::new();
    let mut booking = Vec::new();
    for number in 0..CALLERS {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (number + 1) << 32);
        streaming.push(tokio::spawn(streams::run_caller(
            addresses.clone(),
            rng.clone(),
            stopped.clone(),
        )));
        let prefix = format!("seed{seed}-caller{number}");
        booking.push(tokio::spawn(bookings::run_caller(
            addresses.clone(),
            prefix,
            rng,
            stopped.clone(),
        )));
    }
    let admins: Vec<_> = deployment.vms.iter().map(|vm| vm.admin).collect();
    let monitor = tokio::spawn(operators::monitor_revisions(admins.clone(), stopped.clone()));
    let mut submitting = Vec::new();
    for (number, name) in ["ops", "rival"].into_iter().enumerate() {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (number as u64 + 1) << 48);
        let limit = 1_000 + 100_000 * number as u32;
        submitting.push(tokio::spawn(operators::submit_plans(
            admins.clone(),
            name,
            limit,
            rng,
            stopped.clone(),
        )));
    }

    let mut schedule = FaultSchedule::new(seed);
    let start = Instant::now();
    while start.elapsed() < INJECTION_TIME {
        schedule.step(&mut deployment).await;
    }
    schedule.heal_all(&mut deployment).await;
    stop.send(true).unwrap();

    let mut counts = RunCounts { faults: schedule.injected(), ..RunCounts::default() };
    for task in streaming {
        task.await.unwrap().add_to(&mut counts);
    }
    let mut records = Vec::new();
    for task in booking {
        records.extend(task.await.unwrap());
    }
    let mut accepted = operators::AcceptedPlans::default();
    for task in submitting {
        accepted.merge(task.await.unwrap());
    }
    counts.plans = accepted.count();
    monitor.await.unwrap();
    for index in 0..deployment.vms.len() {
        deployment.wait_ready(index).await;
    }
    operators::check_agreement(&admins, &accepted).await;
    // Calls that are still in flight end within the deadline that callers state.
    wait_for("the running calls to end", || async {
        deployment.bookings.iter().all(|server| server.running() == 0).then_some(())
    })
    .await;
    tokio::time::sleep(bookings::DEADLINE).await;
    bookings::check(&deployment, &records, &mut counts);
    counts.cold_overloads = deployment.cold_overloads();
    println!("chaos: seed={seed} {counts:?} steps={}", schedule.describe());
    assert_eq!(counts.cold_overloads, 0, "seed {seed}: cold servers were overloaded");
    let mismatches: u64 =
        deployment.engines.iter().map(|engine| engine.stats().prefix_mismatches).sum();
    assert_eq!(mismatches, 0, "seed {seed}: forced prefixes of other generations");
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_the_first_fixed_schedule() {
    // Guards against broken invariants under combinations of faults that no other test covers. The
    // booking service supports lookup.
    let counts = run_seed(2).await;

    assert!(
        counts.faults > 5 && counts.streams > 0 && counts.executed > 0 && counts.plans > 0,
        "{counts:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_the_second_fixed_schedule() {
    // Guards against broken invariants under combinations of faults that no other test covers. The
    // booking service doesn't support lookup.
    let counts = run_seed(7).await;

    assert!(
        counts.faults > 5 && counts.streams > 0 && counts.executed > 0 && counts.plans > 0,
        "{counts:?}"
    );
}

/// Runs the seeds that `DRAGONFLYCART_CHAOS_RUN` selects; runs none if it is not set.
#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_over_the_seeds_of_a_longer_run() {
    // Guards against the same failures as the fixed schedules, with other seeds.
    let Ok(value) = env::var(RUN_VARIABLE) else { return };
    let (count, first) = value.split_once(':').unwrap_or((&value, ""));
    let count: u64 = count.parse().unwrap();
    let first: u64 =
        if first.is_empty() { rand::random::<u32>().into() } else { first.parse().unwrap() };
    println!("chaos: {RUN_VARIABLE}={count}:{first}");
    let mut failed = Vec::new();
    let seeds: Vec<u64> = (first..first + count).collect();
    for chunk in seeds.chunks(PARALLEL_RUNS as usize) {
        let runs: Vec<_> =
            chunk.iter().map(|seed| (*seed, tokio::spawn(run_seed(*seed)))).collect();
        for (seed, run) in runs {
            if run.await.is_err() {
                failed.push(seed);
            }
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?} of {count}");
}
