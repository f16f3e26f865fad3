//! Gateway processes with a fake store and fake runners, and the requests sent to them.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use dragonflycart_standins::{
    CallerRequest, CrashPoint, FakeRunner, FakeStore, GenerationOptions, LoadHeaderMode,
    ManifestSpec, READY_PATH, RunLog, RunnerFailure, RunnerKind, RunnerOptions, StoreMode,
    free_address, send, settings_text,
};
use dragonflycart_testkit::{ChildProcess, FaultRelay, RelayCommand, RelayMode, RelayScope};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::Instant};

use super::{
    gateway_choice::GatewayChoice,
    soak_disruptions::SoakDisruptions,
    soak_outcome::{RequestKind, SoakCall, SoakOutcome},
    soak_schedule::{SoakFault, SoakSchedule, TimedFault},
};

/// Number of gateways.
const GATEWAY_COUNT: usize = 4;
/// Number of engines, and of runners of service `desk`.
const RUNNER_COUNT: usize = 4;
/// Availability zones.
const ZONES: [&str; 2] = ["a", "b"];
/// Pause between requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(12);
/// Interval at which runners renew their registration.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Shortest time between the notice of a runner that leaves and its removal. Generations can be moved
/// in time only if it is longer.
const LEAST_DRAIN_NOTICE: Duration = Duration::from_millis(1_200);
/// Time for the gateways to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for requests in flight to end after the run.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(12);
/// Slots of a runner of service `desk`. Few, so that calls wait for them.
const DESK_SLOTS: u32 = 2;
/// Tokens that fit into an engine's memory. Few, so that streams wait while engines are slow or
/// gone.
const ENGINE_TOKENS: u64 = 20_000;
/// Pace of a runner that is slow, and of one that is fast, in percent of the usual time.
const SLOW_PACE: u32 = 250;
const FAST_PACE: u32 = 40;
/// Usual pace of a runner.
const USUAL_PACE: u32 = 100;
/// Time limit of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);

struct GatewayProcess {
    settings: PathBuf,
    http_address: SocketAddr,
    status_address: SocketAddr,
    child: Option<ChildProcess>,
    /// Time at which a process that has ended is started again.
    restarts_at: Option<Instant>,
    /// Time at which a paused process is resumed.
    resumes_at: Option<Instant>,
    /// Time since which the process is killed or paused.
    disrupted_since: Option<Instant>,
}

/// Faults of runners besides those of the schedule.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunnerFaults {
    /// Percentage of requests whose response is dropped.
    pub(crate) lost_response_percent: u64,
    /// Percentage of resumed generations whose response head comes late.
    pub(crate) late_head_percent: u64,
    /// Percentage of generations whose stream is silent for a time.
    pub(crate) silent_percent: u64,
}

struct RunnerSlot {
    runner: FakeRunner,
    relay: FaultRelay,
    /// Time at which a runner that leaves is removed.
    removed_at: Option<Instant>,
    /// Time at which the relay passes bytes again.
    heals_at: Option<Instant>,
    /// Times from and until which no connection to the runner is possible.
    unreachable: Option<(Instant, Instant)>,
    /// Time at which the runner works at its usual pace again.
    usual_pace_at: Option<Instant>,
    /// Time at which the load header is sound again.
    sound_header_at: Option<Instant>,
}

/// Processes, fakes and requests of one run.
pub(crate) struct SoakFleet {
    seed: u64,
    directory: PathBuf,
    store: FakeStore,
    store_heals_at: Option<Instant>,
    evacuation_ends_at: Option<Instant>,
    gateways: Vec<GatewayProcess>,
    runners: Vec<RunnerSlot>,
    log: RunLog,
    calls: Arc<Mutex<Vec<SoakCall>>>,
    in_flight: JoinSet<()>,
    next_request: u64,
    next_runner: u64,
    manifest_version: u64,
    sequence: u64,
    runner_faults: RunnerFaults,
    gateway_choice: GatewayChoice,
    disruptions: SoakDisruptions,
}

impl SoakFleet {
    /// Starts all processes and waits until they are ready.
    pub(crate) async fn start(
        seed: u64,
        runner_faults: RunnerFaults,
        gateway_choice: GatewayChoice,
    ) -> SoakFleet {
        let directory =
            std::env::temp_dir().join(format!("dragonflycart-soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&directory).expect("the temporary directory is writable");
        let mut fleet = SoakFleet {
            seed,
            directory,
            store: FakeStore::start().await,
            store_heals_at: None,
            evacuation_ends_at: None,
            gateways: Vec::new(),
            runners: Vec::new(),
            log: RunLog::default(),
            calls: Arc::default(),
            in_flight: JoinSet::new(),
            next_request: 0,
            next_runner: 0,
            manifest_version: 0,
            sequence: 0,
            runner_faults,
            gateway_choice,
            disruptions: SoakDisruptions::default(),
        };
        fleet.publish_manifest();
        for number in 0..RUNNER_COUNT {
            fleet.add_runner(RunnerKind::Engine, ZONES[number % ZONES.len()]).await;
            fleet.add_runner(RunnerKind::PlainService, ZONES[number % ZONES.len()]).await;
        }
        let peer_port = free_address().port();
        for number in 0..GATEWAY_COUNT {
            fleet.add_gateway(number, peer_port);
        }
        fleet.wait_ready().await;
        fleet
    }

    fn publish_manifest(&mut self) {
        self.manifest_version += 1 + self.manifest_version % 3;
        let plan = ManifestSpec {
            version: self.manifest_version,
            extra_routes: self.manifest_version % 7,
            keys: vec!["key".to_owned()],
        };
        self.store.put_order("config", &hard_load_plan(&plan));
    }

    async fn add_runner(&mut self, kind: RunnerKind, zone: &str) {
        self.next_runner += 1;
        let generations = GenerationOptions {
            has_moves: true,
            // Most runners drop a request whose connection closes, but some work on.
            drops_requests: (self.next_runner / 4).is_multiple_of(2),
            late_head_percent: self.runner_faults.late_head_percent,
            silent_percent: self.runner_faults.silent_percent,
            ..GenerationOptions::default()
        };
        let options = RunnerOptions {
            id: format!("i-{}", self.next_runner),
            kind,
            service: if kind == RunnerKind::Engine { "engines" } else { "desk" }.to_owned(),
            zone: zone.to_owned(),
            lost_response_percent: self.runner_faults.lost_response_percent,
            version: "v1".to_owned(),
            failure_percent: 0,
            failure: RunnerFailure::Error,
            crashes_on: None,
            crash_point: CrashPoint::AfterEvents,
            generations,
        };
        let runner = FakeRunner::start(options, &self.log, self.next_runner).await;
        let relay = FaultRelay::start(runner.address()).await.expect("a loopback port is free");
        runner.set_public_address(relay.address());
        runner.set_load_header(LoadHeaderMode::Sound);
        if kind == RunnerKind::PlainService {
            runner.set_slot_limit(DESK_SLOTS);
        }
        self.runners.push(RunnerSlot {
            runner,
            relay,
            removed_at: None,
            heals_at: None,
            unreachable: None,
            usual_pace_at: None,
            sound_header_at: None,
        });
        self.heartbeat();
    }

    fn add_gateway(&mut self, number: usize, peer_port: u16) {
        // Each process has its own IP address, as if it ran on its own machine.
        let ip = format!("127.0.{}.{}", 10 + self.seed % 200, 10 + number);
        let address = |port: u16| format!("{ip}:{port}").parse::<SocketAddr>().expect("an address");
        let (http_address, status_address) =
            (address(free_address().port()), address(free_address().port()));
        let zone = ZONES[number % ZONES.len()];
        let name = format!("vm-{number}");
        let text = settings_text(
            &name,
            zone,
            http_address,
            status_address,
            peer_port,
            self.store.address(),
        );
        let settings = self.directory.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the temporary directory is writable");
        let child = Some(start_process(&settings));
        self.gateways.push(GatewayProcess {
            settings,
            http_address,
            status_address,
            child,
            restarts_at: None,
            resumes_at: None,
            disrupted_since: None,
        });
    }

    async fn wait_ready(&mut self) {
        let deadline = Instant::now() + START_TIMEOUT;
        for index in 0..self.gateways.len() {
            while !is_ready(self.gateways[index].status_address).await {
                assert!(Instant::now() < deadline, "gateway {index} is not ready in time");
                tokio::time::sleep(Duration::from_millis(50)).await;
                self.heartbeat();
            }
        }
    }

    fn heartbeat(&mut self) {
        self.sequence += 1;
        for slot in &self.runners {
            self.store.put_server(slot.runner.id(), &slot.runner.registration(self.sequence));
        }
    }

    /// Sends requests and injects the faults of a schedule.
    pub(crate) async fn run(&mut self, schedule: &SoakSchedule) {
        let start = Instant::now();
        let mut next_heartbeat = start;
        let mut faults = schedule.faults.iter().peekable();
        while start.elapsed() < schedule.duration {
            self.send_request();
            if Instant::now() >= next_heartbeat {
                self.heartbeat();
                next_heartbeat = Instant::now() + HEARTBEAT;
            }
            while faults.peek().is_some_and(|fault| fault.at <= start.elapsed()) {
                let fault = faults.next().expect("the fault was peeked");
                self.inject(*fault).await;
            }
            self.heal(false);
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
        self.heal(true);
    }

    fn send_request(&mut self) {
        let number = self.next_request;
        self.next_request += 1;
        let running: Vec<usize> = (0..self.gateways.len())
            .filter(|index| self.gateways[*index].child.is_some())
            .collect();
        if running.is_empty() {
            return;
        }
        let gateway = running[self.gateway_choice.index(number, running.len())];
        let address = self.gateways[gateway].http_address;
        let (kind, method, path, tokens) = match number % 8 {
            // Every third stream is too short for a backup copy.
            0 if number.is_multiple_of(3) => {
                (RequestKind::Report, "POST", "/reports/r", Some((900, 100)))
            }
            0 => (RequestKind::Report, "POST", "/reports/r", Some((900, 400 + 80 * (number % 9)))),
            4 if number.is_multiple_of(3) => {
                (RequestKind::Batch, "POST", "/batches/b", Some((900, 400)))
            }
            4 => (RequestKind::Feed, "POST", "/feeds/f", Some((900, 200 + 80 * (number % 9)))),
            1..=3 => (RequestKind::Booking, "POST", "/book/b", None),
            _ => (RequestKind::Lookup, "GET", "/look/l", None),
        };
        let body = if method == "POST" { vec![b'x'; 20 + number as usize % 700] } else { vec![] };
        let request = CallerRequest {
            id: format!("{:x}-{number:x}", self.seed),
            method,
            path: path.to_owned(),
            key: "key".to_owned(),
            tokens,
            inner_parts: Vec::new(),
            body: Bytes::from(body),
            time_limit: REQUEST_TIMEOUT,
        };
        let calls = Arc::clone(&self.calls);
        self.in_flight.spawn(async move {
            let response = send(address, &request).await;
            calls.lock().expect("no holder panics").push(SoakCall {
                kind,
                request,
                gateway,
                response,
            });
        });
    }

    async fn inject(&mut self, timed: TimedFault) {
        let until = Instant::now() + timed.duration;
        match timed.fault {
            SoakFault::Kill | SoakFault::Pause | SoakFault::Stop | SoakFault::Reload => {
                self.signal_gateway(timed, until);
            }
            SoakFault::StoreSlow => {
                self.set_store(StoreMode::Slow(Duration::from_millis(300)), until);
            }
            SoakFault::StoreBusy => self.set_store(StoreMode::Busy, until),
            SoakFault::StoreUnresponsive => self.set_store(StoreMode::Silent, until),
            SoakFault::StoreReset => self.set_store(StoreMode::Reset, until),
            SoakFault::StoreCompacted => self.store.compact(),
            SoakFault::RunnerCut => self.set_runner_relay(timed, RelayMode::Cut, None),
            SoakFault::RunnerUnresponsive => self.set_runner_relay(timed, RelayMode::Discard, None),
            SoakFault::RunnerStall => self.set_runner_relay(timed, RelayMode::Stall, Some(until)),
            SoakFault::RunnerCrash => self.replace_runner(timed.target).await,
            SoakFault::RunnerDrained => self.drain_runner(timed).await,
            SoakFault::RunnerUnreachable => self.close_runner(timed.target, until),
            SoakFault::RunnerSlow => self.set_pace(timed.target, SLOW_PACE, until),
            SoakFault::RunnerFast => self.set_pace(timed.target, FAST_PACE, until),
            SoakFault::LoadHeaderFalse => {
                self.set_load_header(timed.target, LoadHeaderMode::False, until);
            }
            SoakFault::LoadHeaderUnusable => {
                self.set_load_header(timed.target, LoadHeaderMode::Unusable, until);
            }
            SoakFault::LoadHeaderMissing => {
                self.set_load_header(timed.target, LoadHeaderMode::Absent, until);
            }
            SoakFault::NewManifest => self.publish_manifest(),
            SoakFault::Evacuation => {
                self.store.put_order("evacuate/b", &json!({}));
                self.evacuation_ends_at = Some(until);
            }
        }
    }

    fn set_pace(&mut self, target: usize, pace: u32, until: Instant) {
        let count = self.runners.len();
        let slot = &mut self.runners[target % count];
        slot.runner.set_pace(pace);
        slot.usual_pace_at = Some(until);
    }

    fn set_load_header(&mut self, target: usize, mode: LoadHeaderMode, until: Instant) {
        let count = self.runners.len();
        let slot = &mut self.runners[target % count];
        slot.runner.set_load_header(mode);
        slot.sound_header_at = Some(until);
    }

    fn set_store(&mut self, mode: StoreMode, until: Instant) {
        self.store.set_mode(mode);
        self.store_heals_at = Some(until);
    }

    fn signal_gateway(&mut self, timed: TimedFault, until: Instant) {
        let gateway = &mut self.gateways[timed.target % GATEWAY_COUNT];
        let Some(child) = &mut gateway.child else { return };
        match timed.fault {
            SoakFault::Kill => {
                gateway.disrupted_since.get_or_insert_with(Instant::now);
                child.kill().expect("the process is ours");
                gateway.child = None;
                gateway.restarts_at = Some(until);
            }
            SoakFault::Pause => {
                gateway.disrupted_since.get_or_insert_with(Instant::now);
                child.pause().expect("the process is ours");
                gateway.resumes_at = Some(until);
            }
            SoakFault::Stop if gateway.resumes_at.is_none() => {
                child.terminate().expect("the process is ours");
            }
            SoakFault::Reload => child.reload().expect("the process is ours"),
            _ => {}
        }
    }

    fn set_runner_relay(&mut self, timed: TimedFault, mode: RelayMode, until: Option<Instant>) {
        let count = self.runners.len();
        let slot = &mut self.runners[timed.target % count];
        slot.relay.apply(RelayCommand { scope: RelayScope::Open, mode });
        if until.is_some() {
            slot.heals_at = until;
        }
    }

    /// Closes all connections to a runner, also new ones, for a while.
    fn close_runner(&mut self, target: usize, until: Instant) {
        let index = target % self.runners.len();
        let slot = &mut self.runners[index];
        slot.relay.apply(RelayCommand { scope: RelayScope::All, mode: RelayMode::Cut });
        let since = slot.unreachable.map_or_else(Instant::now, |(since, _)| since);
        slot.unreachable = Some((since, until));
    }

    async fn replace_runner(&mut self, target: usize) {
        let index = target % self.runners.len();
        let slot = self.runners.remove(index);
        self.store.remove_server(slot.runner.id());
        self.disruptions.note_departed(slot.runner.id());
        if let Some((since, _)) = slot.unreachable {
            self.disruptions.note_unreachable(slot.runner.id(), since);
        }
        let kind = runner_kind(&slot.runner);
        slot.runner.close();
        slot.relay.close().await;
        self.add_runner(kind, ZONES[target % ZONES.len()]).await;
    }

    async fn drain_runner(&mut self, timed: TimedFault) {
        let (target, notice) = (timed.target, timed.duration.max(LEAST_DRAIN_NOTICE));
        let index = target % self.runners.len();
        let slot = &mut self.runners[index];
        if slot.removed_at.is_some() {
            return;
        }
        slot.runner.drain_within(notice);
        self.disruptions.note_departed(slot.runner.id());
        slot.removed_at = Some(Instant::now() + notice);
        let kind = runner_kind(&slot.runner);
        self.heartbeat();
        self.add_runner(kind, ZONES[target % ZONES.len()]).await;
    }

    /// Ends the faults that are due, or all of them.
    fn heal(&mut self, heal_all: bool) {
        let now = Instant::now();
        let is_due = |at: &Option<Instant>| at.is_some_and(|at| heal_all || at <= now);
        if is_due(&self.store_heals_at) {
            self.store.set_mode(StoreMode::Up);
            self.store_heals_at = None;
        }
        if is_due(&self.evacuation_ends_at) {
            self.store.remove_order("evacuate/b");
            self.evacuation_ends_at = None;
        }
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            heal_gateway(gateway, &is_due);
            let is_disrupted = gateway.resumes_at.is_some() || gateway.child.is_none();
            if let Some(since) = gateway.disrupted_since.take_if(|_| !is_disrupted) {
                self.disruptions.note_gateway(index, since);
            }
        }
        for slot in &mut self.runners {
            if is_due(&slot.heals_at) {
                slot.relay.apply(RelayCommand { scope: RelayScope::Open, mode: RelayMode::Pass });
                slot.heals_at = None;
            }
            if is_due(&slot.usual_pace_at) {
                slot.runner.set_pace(USUAL_PACE);
                slot.usual_pace_at = None;
            }
            if is_due(&slot.sound_header_at) {
                slot.runner.set_load_header(LoadHeaderMode::Sound);
                slot.sound_header_at = None;
            }
            if let Some((since, _)) = slot.unreachable.take_if(|(_, until)| is_due(&Some(*until))) {
                slot.relay.apply(RelayCommand { scope: RelayScope::All, mode: RelayMode::Pass });
                self.disruptions.note_unreachable(slot.runner.id(), since);
            }
        }
        let mut index = 0;
        while index < self.runners.len() {
            if self.runners[index].removed_at.is_none_or(|at| at > now) {
                index += 1;
                continue;
            }
            let slot = self.runners.remove(index);
            self.store.remove_server(slot.runner.id());
            if let Some((since, _)) = slot.unreachable {
                self.disruptions.note_unreachable(slot.runner.id(), since);
            }
            slot.runner.close();
        }
    }

    /// Waits for requests in flight, ends all processes and checks the run.
    pub(crate) async fn close(mut self) -> SoakOutcome {
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while Instant::now() < deadline && !self.in_flight.is_empty() {
            if tokio::time::timeout(HEARTBEAT, self.in_flight.join_next()).await.is_err() {
                self.heartbeat();
            }
        }
        self.in_flight.shutdown().await;
        for gateway in &mut self.gateways {
            gateway.child = None;
        }
        // A directory that can't be removed doesn't fail the run.
        drop(fs::remove_dir_all(&self.directory));
        let calls = std::mem::take(&mut *self.calls.lock().expect("no holder panics"));
        SoakOutcome::check(&calls, &self.log, &self.disruptions)
    }
}

fn heal_gateway(gateway: &mut GatewayProcess, is_due: &impl Fn(&Option<Instant>) -> bool) {
    if is_due(&gateway.resumes_at) {
        if let Some(child) = &gateway.child {
            child.resume().expect("the process is ours");
        }
        gateway.resumes_at = None;
    }
    if let Some(child) = &mut gateway.child
        && child.has_ended().expect("the process is ours")
    {
        gateway.child = None;
        gateway.restarts_at = Some(Instant::now());
    }
    if gateway.child.is_none() && is_due(&gateway.restarts_at) {
        gateway.child = Some(start_process(&gateway.settings));
        gateway.restarts_at = None;
        gateway.resumes_at = None;
    }
}

/// Returns the manifest with a deferrable route and a resumable one, in which calls have time to
/// wait for a slot.
fn hard_load_plan(plan: &ManifestSpec) -> Value {
    let mut plan = plan.to_json();
    for route in plan["routes"].as_array_mut().expect("a list of routes") {
        if route["service"] == "desk" {
            route["target_latency_ms"] = 300.into();
        }
    }
    let reports = plan["routes"][0].clone();
    let mut batches = reports.clone();
    batches["name"] = "batches".into();
    batches["path_prefix"] = "/batches/".into();
    batches["priority"] = 2.into();
    batches["target_latency_ms"] = 4_000.into();
    let mut feeds = reports;
    feeds["name"] = "feeds".into();
    feeds["path_prefix"] = "/feeds/".into();
    feeds["resumable"] = true.into();
    plan["routes"].as_array_mut().expect("a list of routes").extend([batches, feeds]);
    plan["services"][0]["engine"]["kv_capacity_tokens"] = ENGINE_TOKENS.into();
    plan
}

fn runner_kind(runner: &FakeRunner) -> RunnerKind {
    if runner.service() == "engines" { RunnerKind::Engine } else { RunnerKind::PlainService }
}

fn start_process(settings: &Path) -> ChildProcess {
    let program = Path::new(env!("CARGO_BIN_EXE_dragonflycartd"));
    ChildProcess::start(program, [Path::new("gateway"), settings]).expect("the gateway starts")
}

async fn is_ready(address: SocketAddr) -> bool {
    let request = CallerRequest {
        id: "ready".to_owned(),
        method: "GET",
        path: READY_PATH.to_owned(),
        key: String::new(),
        tokens: None,
        inner_parts: Vec::new(),
        body: Bytes::new(),
        time_limit: Duration::from_millis(500),
    };
    send(address, &request).await.status == Some(200)
}
