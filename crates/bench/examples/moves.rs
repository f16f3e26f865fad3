//! Version move experiment: prints a table and writes one CSV row per run.
//!
//! `cargo run --release -p dragonflycart-bench --example moves -- --csv moves.csv --runs 200`

use std::{error::Error, path::PathBuf, thread};

use clap::{Arg, Command, value_parser};
use dragonflycart_bench::{
    MovesBaseline, MovesCase, MovesOutcome, MovesRun, MovesScenario, MovesSummary,
};
use strum::IntoEnumIterator;

/// Number of threads that run an experiment.
const THREADS: u64 = 2;

fn main() -> Result<(), Box<dyn Error>> {
    let matches = Command::new("moves")
        .about("Runs the version move experiment")
        .arg(Arg::new("csv").long("csv").value_parser(value_parser!(PathBuf)).required(true))
        .arg(Arg::new("runs").long("runs").value_parser(value_parser!(u64)).default_value("200"))
        .arg(Arg::new("seed").long("seed").value_parser(value_parser!(u64)).default_value("1"))
        .arg(Arg::new("scenario").long("scenario").value_parser(value_parser!(MovesScenario)))
        .get_matches();
    let runs = matches.get_one::<u64>("runs").copied().unwrap_or(200);
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let path = matches.get_one::<PathBuf>("csv").ok_or("a CSV path is required")?;
    let only = matches.get_one::<MovesScenario>("scenario").copied();
    let mut csv = csv::Writer::from_path(path)?;
    println!("{}", MovesSummary::heading());
    for scenario in MovesScenario::iter() {
        if only.is_some_and(|only| only != scenario) {
            continue;
        }
        let (policy, baseline) = run_scenario(scenario, seed, runs);
        for outcome in policy.iter().chain(&baseline) {
            csv.serialize(outcome)?;
        }
        println!("{}", MovesSummary::new(&policy, &baseline));
    }
    csv.flush()?;
    Ok(())
}

/// Runs all seeds of a scenario, half of them on each thread. Returns the outcomes with the policy
/// and with the baseline, in order of seeds.
fn run_scenario(
    scenario: MovesScenario,
    seed: u64,
    runs: u64,
) -> (Vec<MovesOutcome>, Vec<MovesOutcome>) {
    let mut outcomes = Vec::new();
    thread::scope(|scope| {
        let mut workers = Vec::new();
        for worker in 0..THREADS {
            workers.push(scope.spawn(move || {
                let mut outcomes = Vec::new();
                for seed in (seed..seed + runs).filter(|seed| seed % THREADS == worker) {
                    let case = MovesCase::draw(scenario, seed);
                    let baseline = MovesBaseline::default().run(&case);
                    let Ok(run) = MovesRun::new(case) else { continue };
                    outcomes.push((run.run(), baseline));
                }
                outcomes
            }));
        }
        for worker in workers {
            outcomes.extend(worker.join().into_iter().flatten());
        }
    });
    outcomes.sort_by_key(|(policy, _)| policy.seed);
    outcomes.into_iter().unzip()
}
