//! Fixture: gateway processes with duties, at fakes of the store, the platform and servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    ops::Range,
    path::PathBuf,
    time::Duration,
};

use dragonflycart_standins::{
    CloudCall, FakeCloud, FakeRunner, FakeStore, ManifestSpec, RunLog, RunnerKind, free_address,
    settings_text,
};
use serde_json::{Value, json};

use super::{
    gateway_fleet::{GatewayUnderTest, is_ready},
    runner_options::runner_options,
    usage_run::UsageRun,
    usage_traffic::{TEAMS, UsageTraffic},
    wait::wait_for,
};

/// Lease time.
pub(crate) const LEASE: Duration = Duration::from_millis(600);
/// Length of a window of the usage reports, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Tolerance of the counts of a team in a window.
const USAGE_TOLERANCE: f64 = 0.05;
/// Number of gateways. The loss of one must leave enough for the others to act.
const GATEWAYS: usize = 3;

/// Three gateways with duties, an engine and a plain service.
pub(crate) struct DutyFleet {
    directory: PathBuf,
    pub(crate) store: FakeStore,
    pub(crate) cloud: FakeCloud,
    pub(crate) gateways: Vec<GatewayUnderTest>,
    _runners: Vec<FakeRunner>,
    log: RunLog,
    pub(crate) traffic: UsageTraffic,
}

impl DutyFleet {
    /// Starts everything, and requests of all teams to all gateways.
    pub(crate) async fn start(name: &str) -> DutyFleet {
        let directory =
            std::env::temp_dir().join(format!("dragonflycart-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let (store, cloud) = (FakeStore::start().await, FakeCloud::start().await);
        store.put_order("config", &manifest());
        let log = RunLog::default();
        let mut runners = Vec::new();
        for (kind, service) in [(RunnerKind::Engine, "engines"), (RunnerKind::PlainService, "desk")]
        {
            let runner =
                FakeRunner::start(runner_options(&format!("i-{service}"), kind, service), &log, 1)
                    .await;
            store.put_server(runner.id(), &runner.registration(1));
            runners.push(runner);
        }
        let peer_port = free_address().port();
        let mut gateways = Vec::new();
        for number in 0..GATEWAYS {
            gateways.push(start_gateway(&directory, number, peer_port, &store, &cloud));
        }
        for gateway in &gateways {
            wait_for("a ready gateway", async || {
                is_ready(gateway.status_address).await.then_some(())
            })
            .await;
        }
        let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.http_address).collect();
        let traffic = UsageTraffic::start(&addresses);
        DutyFleet { directory, store, cloud, gateways, _runners: runners, log, traffic }
    }

    /// Returns the index of the gateway that made a call.
    pub(crate) fn caller(call: &CloudCall) -> usize {
        call.holder.strip_prefix("vm-").and_then(|number| number.parse().ok()).unwrap()
    }

    /// Returns the calls with usage reports that the platform accepted.
    pub(crate) fn reports(&self) -> Vec<CloudCall> {
        self.cloud.calls("/usage")
    }

    /// Waits until the platform accepted reports of `count` more windows, and returns the last one.
    pub(crate) async fn wait_reports(&self, count: usize) -> CloudCall {
        let known = windows(&self.reports()).len();
        wait_for("usage reports", async || {
            let reports = self.reports();
            (windows(&reports).len() >= known + count).then(|| reports.last().cloned().unwrap())
        })
        .await
    }

    /// Ends the traffic and waits for the reports of its whole windows. Returns the broken rules.
    /// Requests that `excused` returns may be missing.
    pub(crate) async fn finish(self, excused: impl Fn(&UsageRun) -> bool) -> Vec<String> {
        let runs = self.traffic.stop(&self.log).await;
        let begin = runs.iter().map(|run| run.earliest).min().unwrap() / WINDOW_MS + 1;
        let end = runs.iter().map(|run| run.earliest).max().unwrap() / WINDOW_MS;
        let cloud = &self.cloud;
        wait_for("the last report", async || {
            windows(&cloud.calls("/usage")).contains(&end).then_some(())
        })
        .await;
        let reports = cloud.calls("/usage");
        let mut found = cloud.violations(LEASE);
        let counts: BTreeMap<u64, &Value> =
            reports.iter().map(|call| (window(call), &call.body["counts"])).collect();
        for window in begin..end {
            let Some(counts) = counts.get(&window) else {
                found.push(format!("window {window} was not reported"));
                continue;
            };
            let time = window * WINDOW_MS..(window + 1) * WINDOW_MS;
            for team in TEAMS {
                let runs: Vec<&UsageRun> = runs.iter().filter(|run| run.team == team).collect();
                let limits = limits(&runs, &time, &excused);
                let count = counts[team].as_u64().unwrap_or(0);
                if !limits.contains(&count) {
                    found.push(format!("window {window}, {team}: {count}, not in {limits:?}"));
                }
            }
        }
        println!("usage: {} requests in windows {begin} to {end}", runs.len());
        drop(self.gateways);
        // A directory that can't be removed doesn't fail the test.
        drop(fs::remove_dir_all(&self.directory));
        found
    }
}

/// Returns the counts of a window that are within the tolerance.
fn limits(
    runs: &[&UsageRun],
    time: &Range<u64>,
    excused: &impl Fn(&UsageRun) -> bool,
) -> Range<u64> {
    let least = runs.iter().filter(|run| run.is_within(time) && !excused(run)).count();
    let most = runs.iter().filter(|run| run.touches(time)).count();
    let low = (least as f64 * (1.0 - USAGE_TOLERANCE)).floor() as u64;
    low..(most as f64 * (1.0 + USAGE_TOLERANCE)).ceil() as u64 + 1
}

fn window(call: &CloudCall) -> u64 {
    call.body["window_id"].as_u64().unwrap()
}

fn windows(calls: &[CloudCall]) -> BTreeSet<u64> {
    calls.iter().map(window).collect()
}

fn manifest() -> Value {
    let mut manifest = ManifestSpec { version: 1, extra_routes: 0, keys: Vec::new() }.to_json();
    let tenants =
        TEAMS.map(|team| json!({"name": team, "api_keys": [format!("key-{team}")], "priority": 0}));
    manifest["tenants"] = json!(tenants);
    manifest
}

fn start_gateway(
    directory: &std::path::Path,
    number: usize,
    peer_port: u16,
    store: &FakeStore,
    cloud: &FakeCloud,
) -> GatewayUnderTest {
    let ip = format!("127.0.{}.{}", 230 + number, 1 + std::process::id() % 250);
    let address = |port: u16| format!("{ip}:{port}").parse::<SocketAddr>().unwrap();
    let (http_address, status_address) =
        (address(free_address().port()), address(free_address().port()));
    let name = format!("vm-{number}");
    let text = settings_text(&name, "a", http_address, status_address, peer_port, store.address());
    let mut file: Value = serde_json::from_str(&text).unwrap();
    file["cloud"] = json!({
        "address": cloud.address().to_string(), "rate_per_s": 50.0,
        "duties": ["usage_report"], "duty_per_s": 50.0,
    });
    file["bounds"]["lease_ms"] = json!(LEASE.as_millis() as u64);
    file["bounds"]["report_window_s"] = json!(WINDOW_MS as f64 / 1_000.0);
    file["bounds"]["usage_late_s"] = json!(10.0);
    let settings = directory.join(format!("{name}.json"));
    fs::write(&settings, file.to_string()).unwrap();
    let process = GatewayUnderTest::start_process(&settings);
    GatewayUnderTest { process, http_address, status_address, settings }
}
