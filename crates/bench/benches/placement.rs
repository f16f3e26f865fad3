//! Time of one placement decision among 600 servers. The target is under 20 us for 99 of 100
//! decisions.
//!
//! The benchmark times each decision separately, because the target is a percentile.

use std::{collections::BTreeMap, collections::VecDeque, time::Instant};

use dragonflycart_core::{
    Incarnation, ModelName, MonoTime, RouteName, ServerInstance, ServerName, TeamName, VersionName,
    VmOrdinal, ZoneName,
};
use dragonflycart_policy::{
    PlacementRequest, PolicySettings, PriorityClass, RequestScheduler, RequestTicket, ServerKey,
    ServerPool, ServerReport, ServerSpec, TokenProgress, VmPosition,
};
use hdrhistogram::Histogram;

const SERVERS: usize = 600;
const ZONES: usize = 7;
const TEAMS: usize = 200;
const DECISIONS: u64 = 100_000;
/// Requests of this VM that run at any time: 4,300 requests/s over 420 VMs for 60 s each.
const IN_FLIGHT: usize = 600;

fn zone(number: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{number}")).expect("the name is valid")
}

fn model(number: usize) -> (ModelName, VersionName) {
    let name = ModelName::new(&format!("model-{number}")).expect("the name is valid");
    (name, VersionName::new("v1").expect("the name is valid"))
}

fn report(server: usize, models: usize, now: MonoTime) -> ServerReport {
    ServerReport {
        taken_at: now,
        instance: ServerInstance(1),
        cold: false,
        concurrency_limit: 64,
        leaving: false,
        running: 30 + (server * 7 % 20) as u32,
        waiting: 0,
        // Changes from report to report; a constant value would count as a frozen report.
        memory_used_tokens: 30_000 + (server as u64 * 131 + now.as_micros() / 1_000) % 10_000,
        memory_total_tokens: 120_000,
        preemptions: 0,
        running_by_ordinal: Vec::new(),
        loaded: vec![model(server % models)],
    }
}

fn build_scheduler(policy: &str) -> (RequestScheduler, Vec<ServerKey>) {
    let mut ordinal_counts = BTreeMap::new();
    for number in 0..ZONES {
        ordinal_counts.insert(zone(number), 60);
    }
    let settings =
        PolicySettings { policy: policy.to_owned(), ordinal_counts, ..PolicySettings::default() };
    let position = VmPosition { zone: zone(0), ordinal: VmOrdinal(0), incarnation: Incarnation(1) };
    let mut scheduler =
        RequestScheduler::new(settings, position, MonoTime::default()).expect("it is registered");
    let mut keys = Vec::new();
    for number in 0..ZONES {
        scheduler.set_zone(MonoTime::default(), &zone(number), true, 1_000_000);
    }
    for server in 0..SERVERS {
        let name = ServerName::new(&format!("engine-{server}")).expect("the name is valid");
        let zone = zone(server % ZONES);
        keys.push(scheduler.insert_server(ServerSpec { name, zone, service: None }));
    }
    (scheduler, keys)
}

/// Times the submission of single requests together with the decision. Reports and progress arrive
/// between the timed parts, so that the forecasts of the servers concerned have to be rebuilt
/// within them.
fn measure(policy: &str, models: usize) -> Histogram<u64> {
    let (mut scheduler, keys) = build_scheduler(policy);
    let mut times =
        Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3).expect("the bounds are valid");
    let mut running: VecDeque<RequestTicket> = VecDeque::new();
    for number in 0..DECISIONS {
        let now = MonoTime::from_millis(number * 10);
        for offset in 0..24 {
            let server = (number as usize * 24 + offset) % SERVERS;
            scheduler.report(now, keys[server], report(server, models, now));
        }
        if number.is_multiple_of(10) {
            let tokens = (number % 500) as u32;
            let batch: Vec<TokenProgress> =
                running.iter().map(|ticket| TokenProgress { ticket: *ticket, tokens }).collect();
            scheduler.progress(now, &batch);
        }
        let (model, version) = model(number as usize % models);
        let request = PlacementRequest {
            pool: ServerPool::Generation(model, version),
            team: TeamName::new(&format!("team-{}", number as usize % TEAMS)).expect("valid"),
            route: RouteName::new("draft").expect("the name is valid"),
            class: PriorityClass::Standard,
            prompt_tokens: 500,
            max_tokens: 8_000,
            delivered_tokens: 0,
            deadline: None,
            idempotent: true,
            prefix: None,
        };
        let start = Instant::now();
        let ticket = scheduler.submit(now, request);
        let decisions = scheduler.tick(now);
        let elapsed = start.elapsed();
        if decisions.len() == 1 {
            times.saturating_record(elapsed.as_nanos() as u64);
        }
        running.push_back(ticket);
        if running.len() > IN_FLIGHT
            && let Some(ended) = running.pop_front()
        {
            scheduler.finished(now, ended, 400);
        }
    }
    times
}

fn main() {
    println!(
        "{:<18} {:>6} {:>9} {:>9} {:>9} {:>9}",
        "policy", "models", "count", "p50", "p99", "p99.9"
    );
    for policy in dragonflycart_policy::policy_names() {
        for models in [1, 31] {
            let times = measure(policy, models);
            println!(
                "{policy:<18} {models:>6} {:>9} {:>6.1} us {:>6.1} us {:>6.1} us",
                times.len(),
                times.value_at_quantile(0.5) as f64 / 1_000.0,
                times.value_at_quantile(0.99) as f64 / 1_000.0,
                times.value_at_quantile(0.999) as f64 / 1_000.0,
            );
        }
    }
}
