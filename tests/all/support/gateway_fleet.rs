//! Fixture: gateway processes with a fake store and fake runners.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use dragonflycart_standins::{
    CallerRequest, CallerResponse, CrashPoint, FakeRunner, FakeStore, GenerationOptions,
    ManifestSpec, READY_PATH, RunLog, RunnerFailure, RunnerKind, RunnerOptions, free_address, send,
    settings_text,
};
use dragonflycart_testkit::ChildProcess;
use serde_json::json;
use tokio::{task::JoinSet, time::Instant};

/// Time limit in the order for a version move.
pub(crate) const MOVE_TIME_LIMIT: Duration = Duration::from_secs(7);
/// Pause between requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(8);
/// Pause between requests for streams.
const STREAM_PAUSE: Duration = Duration::from_millis(25);
/// Output of a stream, which an engine generates in about 100 ms.
const STREAM_TOKENS: u64 = 40;
/// Time after which the caller of a stream leaves.
const STREAM_TIME_LIMIT: Duration = Duration::from_millis(1_200);
/// Interval at which runners renew their registration.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Time for the gateways to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of requests, sent in less than that interval, after which the runners renew them.
const REQUESTS_PER_HEARTBEAT: usize = 10;
/// Seconds between SIGTERM and SIGKILL, as on the users' platform.
const GRACE_S: u64 = 8;

/// A gateway process.
pub(crate) struct GatewayUnderTest {
    pub(crate) process: ChildProcess,
    pub(crate) http_address: SocketAddr,
    pub(crate) status_address: SocketAddr,
    pub(crate) settings: PathBuf,
}

impl GatewayUnderTest {
    /// Starts a process with a settings file.
    pub(crate) fn start_process(settings: &Path) -> ChildProcess {
        let program = Path::new(env!("CARGO_BIN_EXE_dragonflycartd"));
        ChildProcess::start(program, [Path::new("gateway"), settings]).unwrap()
    }
}

/// Two gateways, two runners of service `desk` with each version, an engine, and the requests that
/// were sent.
pub(crate) struct GatewayFleet {
    directory: PathBuf,
    pub(crate) store: FakeStore,
    runners: Vec<FakeRunner>,
    pub(crate) gateways: Vec<GatewayUnderTest>,
    pub(crate) log: RunLog,
    sequence: u64,
    requests_sent: u64,
    responses: Arc<Mutex<Vec<CallerResponse>>>,
    in_flight: JoinSet<()>,
}

impl GatewayFleet {
    /// Starts the store and the runners. Runners with the new version respond to `failure_percent` of
    /// the requests with an error.
    pub(crate) async fn start(name: &str, failure_percent: u64) -> GatewayFleet {
        GatewayFleet::start_failing(name, RunnerFailure::Error, failure_percent).await
    }

    /// Starts the store and runners of the plain service that fail all requests.
    pub(crate) async fn start_without_sound_runners(
        name: &str,
        failure: RunnerFailure,
    ) -> GatewayFleet {
        let fleet = GatewayFleet::start_failing(name, failure, 100).await;
        for sound in ["i-old-0", "i-old-1"] {
            fleet.crash(sound);
            fleet.store.remove_server(sound);
        }
        fleet
    }

    async fn start_failing(
        name: &str,
        failure: RunnerFailure,
        failure_percent: u64,
    ) -> GatewayFleet {
        let directory =
            std::env::temp_dir().join(format!("dragonflycart-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let store = FakeStore::start().await;
        let plan = ManifestSpec { version: 1, extra_routes: 0, keys: vec!["key".to_owned()] };
        store.put_order("config", &plan.to_json());
        let mut fleet = GatewayFleet {
            directory,
            store,
            runners: Vec::new(),
            gateways: Vec::new(),
            log: RunLog::default(),
            sequence: 0,
            requests_sent: 0,
            responses: Arc::default(),
            in_flight: JoinSet::new(),
        };
        fleet.add_versions(RunnerKind::PlainService, failure, failure_percent).await;
        fleet.add_engine("i-engine").await;
        fleet
    }

    /// Starts another engine.
    pub(crate) async fn add_engine(&mut self, id: &str) {
        self.add_engine_that_crashes_on(id, None, CrashPoint::AfterEvents).await;
    }

    /// Replaces the engine by two of the old version and two of the new one, which fail
    /// `failure_percent` of the streams.
    pub(crate) async fn use_engine_versions(
        &mut self,
        failure: RunnerFailure,
        failure_percent: u64,
    ) {
        self.crash("i-engine");
        self.store.remove_server("i-engine");
        self.add_versions(RunnerKind::Engine, failure, failure_percent).await;
        self.heartbeat();
    }

    /// Starts two runners of the old version and two of the new one, which fail `failure_percent` of
    /// the requests.
    async fn add_versions(
        &mut self,
        kind: RunnerKind,
        failure: RunnerFailure,
        failure_percent: u64,
    ) {
        let (service, suffix) = match kind {
            RunnerKind::PlainService => ("desk", ""),
            RunnerKind::Engine => ("engines", "-engine"),
        };
        for number in 0..4 {
            let is_new = number >= 2;
            let options = RunnerOptions {
                id: format!("i-{}{suffix}-{number}", if is_new { "new" } else { "old" }),
                kind,
                service: service.to_owned(),
                zone: "a".to_owned(),
                lost_response_percent: 0,
                version: if is_new { "v2" } else { "v1" }.to_owned(),
                failure_percent: if is_new { failure_percent } else { 0 },
                failure,
                crashes_on: None,
                crash_point: CrashPoint::AfterEvents,
                generations: GenerationOptions::default(),
            };
            self.runners.push(FakeRunner::start(options, &self.log, number + 1).await);
        }
    }

    /// Starts another engine, which crashes on prompts with the given part.
    pub(crate) async fn add_engine_that_crashes_on(
        &mut self,
        id: &str,
        part: Option<&str>,
        crash_point: CrashPoint,
    ) {
        let generations = GenerationOptions::default();
        self.start_engine(id, part, crash_point, generations).await;
    }

    /// Starts another engine, whose streams are all silent for a time from their middle on.
    pub(crate) async fn add_silent_engine(&mut self, id: &str, silent_time: Duration) {
        let generations =
            GenerationOptions { silent_percent: 100, silent_time, ..GenerationOptions::default() };
        self.start_engine(id, None, CrashPoint::AfterEvents, generations).await;
    }

    async fn start_engine(
        &mut self,
        id: &str,
        crashes_on: Option<&str>,
        crash_point: CrashPoint,
        generations: GenerationOptions,
    ) {
        let engine = RunnerOptions {
            id: id.to_owned(),
            kind: RunnerKind::Engine,
            service: "engines".to_owned(),
            zone: "a".to_owned(),
            lost_response_percent: 0,
            version: "v1".to_owned(),
            failure_percent: 0,
            failure: RunnerFailure::Error,
            crashes_on: crashes_on.map(str::to_owned),
            crash_point,
            generations,
        };
        self.runners.push(FakeRunner::start(engine, &self.log, 9).await);
        self.heartbeat();
    }

    /// Ends a runner without notice. Its registration stays until its lease would have expired.
    pub(crate) fn crash(&self, id: &str) {
        let runner = self.runners.iter().find(|runner| runner.id() == id);
        runner.expect("a runner of this name").crash();
    }

    /// Returns how many runners have crashed.
    pub(crate) fn crash_count(&self) -> usize {
        self.runners.iter().filter(|runner| runner.has_crashed()).count()
    }

    /// Sets how long the work of a runner takes from now on, in percent of the usual time.
    pub(crate) fn set_pace(&self, id: &str, pace: u32) {
        let runner = self.runners.iter().find(|runner| runner.id() == id);
        runner.expect("a runner of this name").set_pace(pace);
    }

    /// Lets a runner announce that it is going to exit.
    pub(crate) fn drain(&self, id: &str) {
        let runner = self.runners.iter().find(|runner| runner.id() == id);
        runner.expect("a runner of this name").drain();
    }

    /// Starts the gateways and waits until they are ready.
    pub(crate) async fn start_gateways(&mut self) {
        let store = self.store.address();
        self.start_gateways_at([store, store], None).await;
    }

    /// Starts the gateways with an address of the store for each, and waits until they are ready.
    /// With a revocation time, VMs that can't confirm their plan must stop accepting keys.
    pub(crate) async fn start_gateways_at(
        &mut self,
        stores: [SocketAddr; 2],
        revocation_time: Option<Duration>,
    ) {
        let peer_port = free_address().port();
        for (number, store) in stores.into_iter().enumerate() {
            let ip = format!("127.0.{}.{}", 220 + number, 1 + std::process::id() % 250);
            let address = |port: u16| format!("{ip}:{port}").parse::<SocketAddr>().unwrap();
            let (http_address, status_address) =
                (address(free_address().port()), address(free_address().port()));
            let name = format!("vm-{number}");
            let mut text =
                settings_text(&name, "a", http_address, status_address, peer_port, store)
                    .replace("\"grace_s\":6", &format!("\"grace_s\":{GRACE_S}"));
            if let Some(time) = revocation_time {
                let strict = format!(
                    "\"strict_revocation\":true,\"revoke_ms\":{},\"grace_s\":",
                    time.as_millis()
                );
                text = text.replace("\"grace_s\":", &strict);
            }
            let settings = self.directory.join(format!("{name}.json"));
            fs::write(&settings, text).unwrap();
            let process = GatewayUnderTest::start_process(&settings);
            self.gateways.push(GatewayUnderTest {
                process,
                http_address,
                status_address,
                settings,
            });
            let deadline = Instant::now() + START_TIMEOUT;
            while !is_ready(status_address).await {
                assert!(Instant::now() < deadline, "gateway {number} is not ready in time");
                tokio::time::sleep(Duration::from_millis(50)).await;
                self.heartbeat();
            }
        }
    }

    /// Kills a gateway, starts it again and waits until it is ready.
    pub(crate) async fn restart_gateway(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        gateway.process.kill().unwrap();
        gateway.process = GatewayUnderTest::start_process(&gateway.settings);
        let status_address = gateway.status_address;
        let deadline = Instant::now() + START_TIMEOUT;
        while !is_ready(status_address).await {
            assert!(Instant::now() < deadline, "gateway {index} is not ready again in time");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns whether the load balancer would send callers to a gateway.
    pub(crate) async fn is_ready(&self, index: usize) -> bool {
        is_ready(self.gateways[index].status_address).await
    }

    /// Sends a request with `key` to one gateway and returns the status of the response.
    pub(crate) async fn status_of_request(&mut self, index: usize, key: &str) -> Option<u16> {
        self.requests_sent += 1;
        let request = CallerRequest {
            id: format!("k-{}", self.requests_sent),
            key: key.to_owned(),
            path: "/book/b".to_owned(),
            method: "POST",
            body: Bytes::from_static(b"booking"),
            time_limit: Duration::from_secs(2),
            ..ready_request()
        };
        send(self.gateways[index].http_address, &request).await.status
    }

    pub(crate) fn heartbeat(&mut self) {
        self.sequence += 1;
        for runner in &self.runners {
            if runner.has_crashed() {
                continue;
            }
            self.store.put_server(runner.id(), &runner.registration(self.sequence));
        }
    }

    pub(crate) fn start_version_move(&self) {
        self.start_version_move_of("desk");
    }

    pub(crate) fn start_version_move_of(&self, service: &str) {
        self.start_version_move_within(service, MOVE_TIME_LIMIT);
    }

    pub(crate) fn start_version_move_within(&self, service: &str, time_limit: Duration) {
        let duration_s = time_limit.as_secs_f64();
        let order = json!({"service": service, "target": "v2", "duration_s": duration_s});
        self.store.put_order(&format!("rollout/{service}"), &order);
    }

    /// Sends requests for `time`, or until the version move ends; returns when it ended.
    pub(crate) async fn send_until_move_ends(&mut self, time: Duration) -> Option<Duration> {
        self.send_until_end(time, "desk", REQUEST_PAUSE, GatewayFleet::send_request).await
    }

    /// Sends streams for `time`, or until the version move of the engines ends; returns when it
    /// ended.
    pub(crate) async fn stream_until_move_ends(&mut self, time: Duration) -> Option<Duration> {
        self.send_until_end(time, "engines", STREAM_PAUSE, GatewayFleet::send_stream).await
    }

    async fn send_until_end(
        &mut self,
        time: Duration,
        service: &str,
        pause: Duration,
        send_one: fn(&mut GatewayFleet),
    ) -> Option<Duration> {
        let start = Instant::now();
        let mut next_heartbeat = start;
        while start.elapsed() < time {
            if Instant::now() >= next_heartbeat {
                self.heartbeat();
                next_heartbeat = Instant::now() + HEARTBEAT;
            }
            send_one(self);
            tokio::time::sleep(pause).await;
            if self.move_state_of(service).is_some_and(|state| state != "in_progress") {
                return Some(start.elapsed());
            }
        }
        None
    }

    /// Sends `count` requests.
    pub(crate) async fn send_requests(&mut self, count: usize) {
        for index in 0..count {
            if index % REQUESTS_PER_HEARTBEAT == 0 {
                self.heartbeat();
            }
            self.send_request();
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
    }

    /// Sends requests until `count` in a row have run at the old version only. Returns false if the
    /// new one has got `limit` requests in all before.
    pub(crate) async fn send_until_old_only(&mut self, count: usize, limit: usize) -> bool {
        let (mut old_before, mut new_before) = self.runs_by_version();
        while new_before < limit {
            self.send_requests(REQUESTS_PER_HEARTBEAT).await;
            let (old, new) = self.runs_by_version();
            if new == new_before && old - old_before >= count {
                return true;
            }
            if new != new_before {
                (old_before, new_before) = (old, new);
            }
        }
        false
    }

    /// Sends a request for a stream to the next gateway in turn.
    pub(crate) fn send_stream(&mut self) {
        let request =
            CallerRequest { time_limit: STREAM_TIME_LIMIT, ..self.stream_request(STREAM_TOKENS) };
        let index = self.requests_sent as usize % self.gateways.len();
        self.send_in_background(index, request);
    }

    /// Sends a request to one gateway and keeps the response.
    fn send_in_background(&mut self, index: usize, request: CallerRequest) {
        let http_address = self.gateways[index].http_address;
        let responses = Arc::clone(&self.responses);
        self.in_flight.spawn(async move {
            let response = send(http_address, &request).await;
            responses.lock().unwrap().push(response);
        });
    }

    pub(crate) fn move_state(&self) -> Option<String> {
        self.move_state_of("desk")
    }

    pub(crate) fn move_state_of(&self, service: &str) -> Option<String> {
        let status = self.store.status(&format!("rollout/{service}"))?;
        assert_eq!(status["target"], "v2");
        status["state"].as_str().map(str::to_owned)
    }

    /// Sends a request to the next gateway in turn.
    pub(crate) fn send_request(&mut self) {
        let index = self.requests_sent as usize % self.gateways.len();
        self.send_request_to(index);
    }

    /// Sends a request to one gateway.
    pub(crate) fn send_request_to(&mut self, index: usize) {
        self.requests_sent += 1;
        let request = CallerRequest {
            id: format!("c-{}", self.requests_sent),
            method: "POST",
            path: "/book/b".to_owned(),
            key: "key".to_owned(),
            tokens: None,
            inner_parts: Vec::new(),
            body: Bytes::from_static(b"booking"),
            time_limit: Duration::from_secs(4),
        };
        self.send_in_background(index, request);
    }

    /// Builds a request for a stream of `output_tokens` tokens; the engine generates four in 8 ms.
    pub(crate) fn stream_request(&mut self, output_tokens: u64) -> CallerRequest {
        self.requests_sent += 1;
        CallerRequest {
            id: format!("s-{}", self.requests_sent),
            method: "POST",
            path: "/reports/r".to_owned(),
            key: "key".to_owned(),
            tokens: Some((900, output_tokens)),
            inner_parts: Vec::new(),
            body: Bytes::from_static(b"report"),
            time_limit: Duration::from_secs(20),
        }
    }

    /// Returns how many times requests ran on the old and on the new version.
    pub(crate) fn runs_by_version(&self) -> (usize, usize) {
        let (mut old, mut new) = (0, 0);
        for id in self.log.ids() {
            for part in self.log.parts(&id) {
                if part.runner.starts_with("i-new") { new += 1 } else { old += 1 }
            }
        }
        (old, new)
    }

    /// Returns how many times requests ran again after their first run.
    pub(crate) fn repeat_count(&self) -> u32 {
        let ids = self.log.ids();
        ids.iter().map(|id| self.log.parts(id).len() as u32 - 1).sum()
    }

    /// Waits for the requests in flight and returns the share of all responses with status 200.
    pub(crate) async fn success_share(&mut self) -> f64 {
        while self.in_flight.join_next().await.is_some() {}
        let responses = self.responses.lock().unwrap();
        let good = responses.iter().filter(|response| response.status == Some(200)).count();
        good as f64 / responses.len() as f64
    }

    /// Returns the value of a metric from a gateway's status address.
    pub(crate) async fn metric(&self, address: SocketAddr, name: &str) -> f64 {
        let request = CallerRequest { path: "/metrics".to_owned(), ..ready_request() };
        let response = send(address, &request).await;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let line = text.lines().find(|line| line.starts_with(name));
        let line = line.unwrap_or_else(|| panic!("no metric {name}: {text}"));
        line.rsplit(' ').next().and_then(|value| value.parse().ok()).unwrap()
    }

    pub(crate) fn close(mut self) {
        self.gateways.clear();
        // A directory that can't be removed doesn't fail the test.
        drop(fs::remove_dir_all(&self.directory));
    }
}

fn ready_request() -> CallerRequest {
    CallerRequest {
        id: "ready".to_owned(),
        method: "GET",
        path: READY_PATH.to_owned(),
        key: String::new(),
        tokens: None,
        inner_parts: Vec::new(),
        body: Bytes::new(),
        time_limit: Duration::from_millis(500),
    }
}

/// Returns whether the gateway with this status address takes requests.
pub(crate) async fn is_ready(address: SocketAddr) -> bool {
    send(address, &ready_request()).await.status == Some(200)
}
