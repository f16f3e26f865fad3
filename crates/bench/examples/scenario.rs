//! Runs scenarios under every policy, prints the means and writes one CSV row per run.

use std::{
    error::Error,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use clap::{Arg, ArgAction, Command};
use dragonflycart_bench::{RunRow, ScenarioKind, Simulation, mean_row, print_table};
use dragonflycart_policy::{PolicySettings, policy_names};
use strum::IntoEnumIterator;

fn command() -> Command {
    Command::new("scenario")
        .about("Runs scenarios under every policy")
        .arg(Arg::new("name").default_value("all").help("scenario, several with commas, or all"))
        .arg(Arg::new("seeds").long("seeds").default_value("20"))
        .arg(Arg::new("threads").long("threads").default_value("3"))
        .arg(
            Arg::new("policies")
                .long("policies")
                .help("policies, several with commas; all if not given"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .help("settings to override, as name=value, several with commas"),
        )
        .arg(
            Arg::new("shed-all")
                .long("shed-all")
                .action(ArgAction::SetTrue)
                .help("baselines also reject requests that are forecast to be late"),
        )
        .arg(Arg::new("csv").long("csv").help("file for one row per run"))
}

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let seeds: u64 = text("seeds").unwrap_or_default().parse()?;
    let threads: usize = text("threads").unwrap_or_default().parse()?;
    let name = text("name").unwrap_or_default();
    let mut kinds = Vec::new();
    if name == "all" {
        kinds.extend(ScenarioKind::iter());
    } else {
        for part in name.split(',') {
            kinds.push(part.parse::<ScenarioKind>()?);
        }
    }
    let policies: Vec<String> = match text("policies") {
        Some(list) => list.split(',').map(str::to_owned).collect(),
        None => policy_names().into_iter().map(str::to_owned).collect(),
    };
    let mut jobs = Vec::new();
    for kind in kinds {
        for policy in &policies {
            for seed in 1..=seeds {
                jobs.push((kind, policy.clone(), seed));
            }
        }
    }
    let overrides = parse_overrides(&text("set").unwrap_or_default())?;
    let shed_all = matches.get_flag("shed-all");
    let rows = run_jobs(&jobs, threads, &overrides, shed_all);
    let mut means = Vec::new();
    for group in rows.chunk_by(|a, b| a.scenario == b.scenario && a.policy == b.policy) {
        means.extend(mean_row(group));
    }
    print_table(&means);
    if let Some(path) = text("csv") {
        let mut writer = csv::Writer::from_path(path)?;
        for row in &rows {
            writer.serialize(row)?;
        }
        writer.flush()?;
    }
    Ok(())
}

fn parse_overrides(list: &str) -> Result<Vec<(String, f64)>, Box<dyn Error>> {
    let mut overrides = Vec::new();
    for part in list.split(',').filter(|part| !part.is_empty()) {
        let (name, value) =
            part.split_once('=').ok_or("a setting must have the form name=value")?;
        overrides.push((name.to_owned(), value.parse()?));
    }
    Ok(overrides)
}

fn apply_overrides(settings: &mut PolicySettings, overrides: &[(String, f64)]) {
    for (name, value) in overrides {
        match name.as_str() {
            "headroom" => settings.max_memory_share = *value,
            "length_quantile" => settings.length_quantile = *value,
            "late_quantile" => settings.late_quantile = *value,
            "batch_share" => settings.batch_share = *value,
            "queue_depth" => settings.queue_depth = *value as u32,
            "prefix_bonus" => settings.prefix_bonus = *value,
            "standard_reserve" => settings.class_reserve[1] = *value,
            "batch_reserve" => settings.class_reserve[2] = *value,
            "spread" => settings.score_jitter = *value,
            _ => panic!("unknown setting {name}"),
        }
    }
}

fn run_jobs(
    jobs: &[(ScenarioKind, String, u64)],
    threads: usize,
    overrides: &[(String, f64)],
    shed_all: bool,
) -> Vec<RunRow> {
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let Some((kind, policy, seed)) = jobs.get(number) else {
                        break;
                    };
                    let mut spec = kind.spec();
                    // The baselines don't forecast output lengths, so they can't tell which
                    // requests will be late.
                    spec.settings.shed_late = shed_all || policy == "forecast";
                    apply_overrides(&mut spec.settings, overrides);
                    let metrics = Simulation::new(spec, policy, *seed).run();
                    let row = RunRow::new(kind.into(), policy, *seed, &metrics);
                    rows.lock().expect("no run panicked").push((number, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().expect("no run panicked");
    rows.sort_by_key(|(number, _)| *number);
    rows.into_iter().map(|(_, row)| row).collect()
}
