//! Gateway processes with fake runners that tell their load, and the requests sent to them.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use dragonflycart_standins::{
    CallerRequest, CallerResponse, FakeRunner, FakeStore, LoadHeaderMode, ManifestSpec, READY_PATH,
    RunLog, RunnerKind, free_address, send, settings_text,
};
use dragonflycart_testkit::ChildProcess;
use serde_json::{Value, json};
use tokio::{
    task::{JoinHandle, JoinSet},
    time::Instant,
};

use super::{answered_request::AnsweredRequest, load_options::LoadOptions};
use crate::support::{runner_options, wait_for};

/// Interval at which runners renew their registration.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Time limit of a call, as of its route.
const CALL_TIME_LIMIT: Duration = Duration::from_secs(5);
/// Time limit of a stream.
const STREAM_TIME_LIMIT: Duration = Duration::from_secs(30);
/// Latency target of the calls, so short that they may wait for a slot.
const CALL_TARGET_MS: u64 = 300;
/// Latency target of the deferrable route.
const BATCH_TARGET_MS: u64 = 4_000;
/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// Number of requests of which one is for a stream.
const REQUESTS_PER_STREAM: u64 = 10;
/// Output of a stream.
const STREAM_TOKENS: u64 = 200;

/// Fakes that gateways see.
struct LoadSite {
    store: FakeStore,
    runners: Vec<FakeRunner>,
}

impl LoadSite {
    fn renew_registrations(&self, sequence: u64) {
        for runner in &self.runners {
            if !runner.has_crashed() {
                self.store.put_server(runner.id(), &runner.registration(sequence));
            }
        }
    }
}

struct GatewayProcess {
    settings: PathBuf,
    http_address: SocketAddr,
    status_address: SocketAddr,
    child: Option<ChildProcess>,
}

/// Gateway processes, fakes and requests of one test. The first service has engines, the second one
/// answers calls.
pub(crate) struct LoadFleet {
    directory: PathBuf,
    site: Arc<LoadSite>,
    heartbeat: JoinHandle<()>,
    gateways: Vec<GatewayProcess>,
    next_request: u64,
    answers: Arc<Mutex<Vec<AnsweredRequest>>>,
    in_flight: JoinSet<()>,
    pub(crate) log: RunLog,
}

impl LoadFleet {
    /// Starts all processes and waits until they are ready.
    pub(crate) async fn start(name: &str, options: LoadOptions) -> LoadFleet {
        let directory =
            std::env::temp_dir().join(format!("dragonflycart-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let log = RunLog::default();
        let store = FakeStore::start().await;
        store.put_order("config", &plan());
        let mut runners = Vec::new();
        for number in 0..options.engines {
            runners.push(start_runner(RunnerKind::Engine, number, &log).await);
        }
        for number in 0..options.desks {
            let runner = start_runner(RunnerKind::PlainService, number, &log).await;
            runner.set_slot_limit(options.desk_slots);
            runner.set_pace(options.desk_pace);
            runners.push(runner);
        }
        let site = Arc::new(LoadSite { store, runners });
        let mut fleet = LoadFleet {
            directory,
            heartbeat: tokio::spawn(renew_registrations(Arc::clone(&site))),
            site,
            gateways: Vec::new(),
            next_request: 0,
            answers: Arc::default(),
            in_flight: JoinSet::new(),
            log,
        };
        let peer_port = free_address().port();
        for number in 0..options.gateways {
            fleet.add_gateway(number, peer_port, options.cloud);
        }
        for index in 0..options.gateways {
            fleet.wait_ready(index).await;
        }
        fleet
    }

    fn add_gateway(&mut self, number: usize, peer_port: u16, cloud: Option<SocketAddr>) {
        // Each process has its own IP address, as if it ran on its own machine.
        let ip = format!("127.0.{}.{}", 60 + number, 1 + std::process::id() % 250);
        let address = |port: u16| format!("{ip}:{port}").parse::<SocketAddr>().unwrap();
        let http_address = address(free_address().port());
        let status_address = address(free_address().port());
        let (name, store) = (format!("vm-{number}"), self.site.store.address());
        let text = settings_text(&name, "a", http_address, status_address, peer_port, store);
        let mut file: Value = serde_json::from_str(&text).unwrap();
        if let Some(cloud) = cloud {
            file["cloud"] = json!({
                "address": cloud.to_string(), "rate_per_s": 50.0, "duties": ["usage_report"],
                "duty_per_s": 50.0,
            });
            file["bounds"]["lease_ms"] = 900.into();
            file["bounds"]["report_window_s"] = 1.0.into();
            file["bounds"]["usage_late_s"] = 3.0.into();
        }
        let settings = self.directory.join(format!("{name}.json"));
        fs::write(&settings, file.to_string()).unwrap();
        let child = Some(start_process(&settings));
        self.gateways.push(GatewayProcess { settings, http_address, status_address, child });
    }

    async fn wait_ready(&self, index: usize) {
        let address = self.gateways[index].status_address;
        wait_for("a gateway that is ready", || async {
            let response = send(address, &status_request(READY_PATH)).await;
            (response.status == Some(200)).then_some(())
        })
        .await;
    }

    pub(crate) fn store(&self) -> &FakeStore {
        &self.site.store
    }

    pub(crate) fn runner(&self, id: &str) -> &FakeRunner {
        self.site.runners.iter().find(|runner| runner.id() == id).expect("a runner of this name")
    }

    /// Sets the load header of all runners.
    pub(crate) fn set_load_headers(&self, mode: LoadHeaderMode) {
        for runner in &self.site.runners {
            runner.set_load_header(mode);
        }
    }

    /// Sends the next request in turn, most of them calls, to the next gateway in turn.
    pub(crate) fn send_next(&mut self) {
        let gateway = self.next_request as usize % self.gateways.len();
        if !self.next_request.is_multiple_of(REQUESTS_PER_STREAM) {
            return self.send_call(gateway);
        }
        let path = match self.next_request / REQUESTS_PER_STREAM % 3 {
            0 => "/reports/r",
            1 => "/batches/b",
            _ => "/feeds/f",
        };
        let request = self.request(path, Some((900, STREAM_TOKENS)), STREAM_TIME_LIMIT);
        self.send_in_background(gateway, request);
    }

    /// Sends a call that must not run twice to a gateway.
    pub(crate) fn send_call(&mut self, gateway: usize) {
        let request = self.request("/book/b", None, CALL_TIME_LIMIT);
        self.send_in_background(gateway, request);
    }

    /// Sends a resumable stream to a gateway. Returns its ID.
    pub(crate) fn send_feed(&mut self, gateway: usize, output_tokens: u64) -> String {
        let request = self.request("/feeds/f", Some((900, output_tokens)), STREAM_TIME_LIMIT);
        let id = request.id.clone();
        self.send_in_background(gateway, request);
        id
    }

    /// Sends `count` requests, with a pause after each.
    pub(crate) async fn send_requests(&mut self, count: u64) {
        for _ in 0..count {
            self.send_next();
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
    }

    fn request(
        &mut self,
        path: &str,
        tokens: Option<(u64, u64)>,
        time_limit: Duration,
    ) -> CallerRequest {
        self.next_request += 1;
        CallerRequest {
            id: format!("h-{}", self.next_request),
            method: "POST",
            path: path.to_owned(),
            key: "key".to_owned(),
            tokens,
            inner_parts: Vec::new(),
            body: Bytes::from_static(b"work"),
            time_limit,
        }
    }

    fn send_in_background(&mut self, gateway: usize, request: CallerRequest) {
        let address = self.gateways[gateway].http_address;
        let answers = Arc::clone(&self.answers);
        self.in_flight.spawn(async move {
            let response = send(address, &request).await;
            answers.lock().unwrap().push(AnsweredRequest { gateway, request, response });
        });
    }

    /// Waits until all requests are answered, and returns them.
    pub(crate) async fn wait_answers(&mut self) -> Vec<AnsweredRequest> {
        while self.in_flight.join_next().await.is_some() {}
        std::mem::take(&mut *self.answers.lock().unwrap())
    }

    /// Sends an answered request again, as another attempt, to a gateway.
    pub(crate) async fn send_again(
        &self,
        answered: &AnsweredRequest,
        gateway: usize,
    ) -> AnsweredRequest {
        let request = CallerRequest {
            id: format!("{}-again", answered.request.id),
            ..answered.request.clone()
        };
        let response = send(self.gateways[gateway].http_address, &request).await;
        AnsweredRequest { gateway, request, response }
    }

    /// Tells a gateway to stop.
    pub(crate) fn terminate(&self, index: usize) {
        let child = self.gateways[index].child.as_ref().expect("the gateway runs");
        child.terminate().unwrap();
    }

    /// Waits until a gateway has stopped, starts it again and waits until it is ready.
    pub(crate) async fn restart_stopped(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let deadline = Instant::now() + STREAM_TIME_LIMIT;
        while !gateway.child.as_mut().is_some_and(|child| child.has_ended().unwrap()) {
            assert!(Instant::now() < deadline, "gateway {index} does not stop");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        gateway.child = Some(start_process(&gateway.settings));
        self.wait_ready(index).await;
    }

    /// Returns the value of a gateway's metric.
    pub(crate) async fn metric(&self, gateway: usize, name: &str) -> f64 {
        let address = self.gateways[gateway].status_address;
        let name = format!("dragonflycart_gateway_{name} ");
        wait_for("a gateway's metric", || async {
            let response = send(address, &status_request("/metrics")).await;
            let text = String::from_utf8_lossy(&response.body).into_owned();
            text.lines().find_map(|line| line.strip_prefix(&name)?.parse().ok())
        })
        .await
    }

    /// Returns the learned speed of the slowest server that each gateway has measured, in percent
    /// of the median.
    pub(crate) async fn slowest_speeds(&self) -> Vec<f64> {
        let mut speeds = Vec::new();
        for index in 0..self.gateways.len() {
            speeds.push(self.metric(index, "slowest_server_percent").await);
        }
        speeds
    }

    /// Ends all processes.
    pub(crate) fn close(mut self) {
        self.heartbeat.abort();
        self.gateways.clear();
        // A directory that can't be removed doesn't fail the test.
        drop(fs::remove_dir_all(&self.directory));
    }
}

/// Returns a plan with a deferrable and a resumable route, in which calls have time to wait.
fn plan() -> Value {
    let spec = ManifestSpec { version: 1, extra_routes: 0, keys: vec!["key".to_owned()] };
    let mut plan = spec.to_json();
    let reports = plan["routes"][0].clone();
    let mut routes = plan["routes"].as_array().unwrap().clone();
    for route in &mut routes {
        if route["service"] == "desk" {
            route["target_latency_ms"] = CALL_TARGET_MS.into();
        }
    }
    let mut batches = reports.clone();
    batches["name"] = "batches".into();
    batches["path_prefix"] = "/batches/".into();
    batches["priority"] = 2.into();
    batches["target_latency_ms"] = BATCH_TARGET_MS.into();
    let mut feeds = reports;
    feeds["name"] = "feeds".into();
    feeds["path_prefix"] = "/feeds/".into();
    feeds["resumable"] = true.into();
    routes.extend([batches, feeds]);
    plan["routes"] = routes.into();
    plan["services"][0]["engine"]["moves"] = false.into();
    plan["services"][0]["engine"]["backups"] = false.into();
    plan
}

async fn start_runner(kind: RunnerKind, number: usize, log: &RunLog) -> FakeRunner {
    let (service, prefix) = match kind {
        RunnerKind::Engine => ("engines", "i-engine"),
        RunnerKind::PlainService => ("desk", "i-desk"),
    };
    let options = runner_options(&format!("{prefix}-{number}"), kind, service);
    let runner = FakeRunner::start(options, log, number as u64 + 1).await;
    runner.set_load_header(LoadHeaderMode::Sound);
    runner
}

async fn renew_registrations(site: Arc<LoadSite>) {
    for sequence in 1.. {
        site.renew_registrations(sequence);
        tokio::time::sleep(HEARTBEAT).await;
    }
}

fn start_process(settings: &Path) -> ChildProcess {
    let program = Path::new(env!("CARGO_BIN_EXE_dragonflycartd"));
    ChildProcess::start(program, [Path::new("gateway"), settings]).unwrap()
}

fn status_request(path: &str) -> CallerRequest {
    CallerRequest {
        id: "status".to_owned(),
        method: "GET",
        path: path.to_owned(),
        key: String::new(),
        tokens: None,
        inner_parts: Vec::new(),
        body: Bytes::new(),
        time_limit: Duration::from_millis(500),
    }
}

/// Returns whether a response is whole: of a stream, all its events in order.
pub(crate) fn is_whole(request: &CallerRequest, response: &CallerResponse) -> bool {
    let expected = match request.tokens {
        None => format!("{} {}", request.id, request.body.len()),
        Some((_, output)) => (0..output / 4)
            .map(|number| format!("id: {number}\ndata: {} {number}\n\n", request.id))
            .collect(),
    };
    response.status == Some(200) && response.is_complete && response.body == expected.as_bytes()
}
