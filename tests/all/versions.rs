//! Moves of a service to another version: real gateway processes, the store and runners of both
//! versions as stand-ins.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use dragonflycart_standins::{
    CallerAnswer, CallerRequest, PlanText, READY_PATH, RunLog, RunnerKind, RunnerOptions,
    RunnerStandin, StoreMode, StoreStandin, send, settings_text,
};
use dragonflycart_testkit::ChildProcess;
use serde_json::json;
use tokio::{task::JoinSet, time::Instant};

use crate::support::port_pool::free_address;

/// Time limit of the order.
const TIME_LIMIT: Duration = Duration::from_secs(7);
/// Pause between requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(8);
/// Interval at which runners renew their registration.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Time for the gateways to be ready.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Share of the requests that a bad version may get, as in the settings.
const EXPOSURE_SHARE: f64 = 0.1;
/// Requests beyond that.
const EXPOSURE_SLACK: f64 = 50.0;

/// Two gateways, two desks of each version, and callers.
struct VersionFleet {
    directory: PathBuf,
    store: StoreStandin,
    runners: Vec<RunnerStandin>,
    gateways: Vec<(ChildProcess, SocketAddr, PathBuf)>,
    log: RunLog,
    sequence: u64,
    calls: u64,
    answers: Arc<Mutex<Vec<CallerAnswer>>>,
    open: JoinSet<()>,
}

impl VersionFleet {
    /// Starts the fleet; the desks of the new version fail some requests of a hundred.
    async fn start(name: &str, failing_in_100: u64) -> VersionFleet {
        let directory =
            std::env::temp_dir().join(format!("dragonflycart-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let store = StoreStandin::start().await;
        let plan = PlanText { version: 1, extra_routes: 0, keys: vec!["key".to_owned()] };
        store.put_order("config", &plan.value());
        let mut fleet = VersionFleet {
            directory,
            store,
            runners: Vec::new(),
            gateways: Vec::new(),
            log: RunLog::default(),
            sequence: 0,
            calls: 0,
            answers: Arc::default(),
            open: JoinSet::new(),
        };
        for number in 0..4 {
            let is_new = number >= 2;
            let options = RunnerOptions {
                id: format!("i-{}-{number}", if is_new { "new" } else { "old" }),
                kind: RunnerKind::Desk,
                service: "desk".to_owned(),
                zone: "a".to_owned(),
                lost_in_100: 0,
                version: if is_new { "v2" } else { "v1" }.to_owned(),
                failing_in_100: if is_new { failing_in_100 } else { 0 },
            };
            fleet.runners.push(RunnerStandin::start(options, &fleet.log, number + 1).await);
        }
        fleet.heartbeat();
        fleet
    }

    /// Starts the gateways and waits until they are ready.
    async fn start_gateways(&mut self) {
        let peer_port = free_address().port();
        for number in 0..2 {
            let ip = format!("127.0.{}.{}", 220 + number, 1 + std::process::id() % 250);
            let address = |port: u16| format!("{ip}:{port}").parse::<SocketAddr>().unwrap();
            let (front, ready) = (address(free_address().port()), address(free_address().port()));
            let name = format!("vm-{number}");
            let store = self.store.address();
            let text = settings_text(&name, "a", front, ready, peer_port, store);
            let settings = self.directory.join(format!("{name}.json"));
            fs::write(&settings, text).unwrap();
            self.gateways.push((start_process(&settings), front, settings));
            let deadline = Instant::now() + START_LIMIT;
            while !is_ready(ready).await {
                assert!(Instant::now() < deadline, "gateway {number} is not ready in time");
                tokio::time::sleep(Duration::from_millis(50)).await;
                self.heartbeat();
            }
        }
    }

    fn heartbeat(&mut self) {
        self.sequence += 1;
        for runner in &self.runners {
            self.store.put_server(runner.id(), &runner.registration(self.sequence));
        }
    }

    fn order_move(&self) {
        let order =
            json!({"service": "desk", "target": "v2", "duration_s": TIME_LIMIT.as_secs_f64()});
        self.store.put_order("rollout/desk", &order);
    }

    /// Sends requests for a while, or until the move is over.
    async fn play(&mut self, time: Duration) -> Option<Duration> {
        let start = Instant::now();
        let mut next_heartbeat = start;
        while start.elapsed() < time {
            if Instant::now() >= next_heartbeat {
                self.heartbeat();
                next_heartbeat = Instant::now() + HEARTBEAT;
            }
            self.send_request();
            tokio::time::sleep(REQUEST_PAUSE).await;
            if self.state().is_some_and(|state| state != "in_progress") {
                return Some(start.elapsed());
            }
        }
        None
    }

    fn state(&self) -> Option<String> {
        let status = self.store.status("rollout/desk")?;
        assert_eq!(status["target"], "v2");
        status["state"].as_str().map(str::to_owned)
    }

    fn send_request(&mut self) {
        self.calls += 1;
        let request = CallerRequest {
            id: format!("c-{}", self.calls),
            method: "POST",
            path: "/book/b".to_owned(),
            key: "key".to_owned(),
            tokens: None,
            body: Bytes::from_static(b"booking"),
            time_limit: Duration::from_secs(4),
        };
        let front = self.gateways[self.calls as usize % self.gateways.len()].1;
        let answers = Arc::clone(&self.answers);
        self.open.spawn(async move {
            let answer = send(front, &request).await;
            answers.lock().unwrap().push(answer);
        });
    }

    /// Returns the requests that ran at old and at new runners.
    fn runs(&self) -> (usize, usize) {
        let (mut old, mut new) = (0, 0);
        for id in self.log.ids() {
            for part in self.log.parts(&id) {
                if part.runner.starts_with("i-new") { new += 1 } else { old += 1 }
            }
        }
        (old, new)
    }

    /// Waits for open requests and returns the shares of answers with status 200.
    async fn served(&mut self) -> f64 {
        while self.open.join_next().await.is_some() {}
        let answers = self.answers.lock().unwrap();
        let good = answers.iter().filter(|answer| answer.status == Some(200)).count();
        good as f64 / answers.len() as f64
    }

    fn close(mut self) {
        self.gateways.clear();
        // A file that stays behind is no failure of the test.
        drop(fs::remove_dir_all(&self.directory));
    }
}

fn start_process(settings: &Path) -> ChildProcess {
    let program = Path::new(env!("CARGO_BIN_EXE_dragonflycartd"));
    ChildProcess::start(program, [Path::new("gateway"), settings]).unwrap()
}

async fn is_ready(address: SocketAddr) -> bool {
    let request = CallerRequest {
        id: "ready".to_owned(),
        method: "GET",
        path: READY_PATH.to_owned(),
        key: String::new(),
        tokens: None,
        body: Bytes::new(),
        time_limit: Duration::from_millis(500),
    };
    send(address, &request).await.status == Some(200)
}

/// An order that nobody carried out left the service on both versions for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn good_version_gets_all_requests_within_the_time_limit() {
    let mut fleet = VersionFleet::start("good-version", 0).await;
    fleet.start_gateways().await;
    fleet.order_move();

    let ended = fleet.play(TIME_LIMIT).await;
    let (old_before, _) = fleet.runs();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..50 {
        fleet.send_request();
    }
    let served = fleet.served().await;

    assert!(ended.is_some(), "no result within the time limit");
    assert_eq!(fleet.state().as_deref(), Some("completed"));
    assert_eq!(fleet.runs().0, old_before, "the old version got requests after the move");
    assert_eq!(served, 1.0, "no request fails because of the move");
    fleet.close();
}

/// A version that fails half of its requests may get a tenth of them, and 50, until the time
/// limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_version_is_rolled_back_before_it_got_many_requests() {
    let mut fleet = VersionFleet::start("bad-version", 50).await;
    fleet.start_gateways().await;
    fleet.order_move();

    let ended = fleet.play(TIME_LIMIT).await;
    let (_, new_before) = fleet.runs();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..50 {
        fleet.send_request();
    }
    fleet.served().await;

    assert!(ended.is_some(), "no result within the time limit");
    assert_eq!(fleet.state().as_deref(), Some("rolled_back"));
    let (old, new) = fleet.runs();
    assert_eq!(new, new_before, "the bad version got requests after the result");
    let limit = EXPOSURE_SHARE * (old + new) as f64 + EXPOSURE_SLACK;
    assert!((new as f64) <= limit, "{new} requests at the new version, {old} at the old one");
    fleet.close();
}

/// The gateways restart while the store is away for a part of the move; the order must not begin
/// anew, and its result must still come in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn move_ends_in_time_although_the_judge_dies_and_the_store_is_away() {
    let mut fleet = VersionFleet::start("judge-dies", 0).await;
    fleet.start_gateways().await;
    fleet.order_move();
    let start = Instant::now();
    fleet.play(Duration::from_millis(2_000)).await;

    fleet.gateways[0].0.kill().unwrap();
    fleet.store.set_mode(StoreMode::Reset);
    fleet.play(Duration::from_millis(800)).await;
    fleet.store.set_mode(StoreMode::Up);
    fleet.gateways[0].0 = start_process(&fleet.gateways[0].2);
    let ended = fleet.play(TIME_LIMIT.saturating_sub(start.elapsed())).await;

    assert!(ended.is_some(), "no result within the time limit");
    assert_eq!(fleet.state().as_deref(), Some("completed"));
    fleet.served().await;
    fleet.close();
}
