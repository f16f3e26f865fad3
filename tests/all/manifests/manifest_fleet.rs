//! Gateways of three zones whose manifest changes all the time.

use std::{
    fmt, fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use dragonflycart_standins::{
    CallerRequest, FakeRunner, FakeStore, RunLog, RunnerKind, StoreCopy, StoreEntry, StoreMode,
    free_address, send, settings_text,
};
use dragonflycart_testkit::ChildProcess;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time::Instant};

use crate::support::{GatewayUnderTest, is_ready, runner_options};

use super::{
    contact_record::{ContactRecord, StoreTrouble},
    manifest_record::{Manifest, ManifestRecord, key_text, route_prefix},
};

/// Availability zones, each with two gateways.
const ZONES: [&str; 3] = ["jelgava", "bauska", "dobele"];
const GATEWAYS_PER_ZONE: usize = 2;
/// Time for the gateways to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two steps of a run. In each, one request goes to each gateway.
const STEP: Duration = Duration::from_millis(40);
/// Interval at which the runner renews its registration.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Pause between two manifests, in milliseconds.
const MANIFEST_PAUSE_MS: std::ops::Range<u64> = 300..2_500;
/// Pause between two disruptions, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 1_500..7_000;
/// Duration of a disruption, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..4_000;
/// Time for which the store is away before it comes back from a copy.
const STORE_AWAY: Duration = Duration::from_millis(600);
/// Interval at which the store is copied.
const COPY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum age of the copy from which the store comes back.
const MAX_COPY_AGE: Duration = Duration::from_secs(6);
/// Time that a request may take.
const REQUEST_TIME: Duration = Duration::from_millis(900);
/// Number of newest routes and keys that are asked for.
const RECENT: u64 = 4;

/// Kinds of disruptions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ManifestFault {
    /// SIGKILL of a gateway; it starts again.
    Kill,
    /// The same of all gateways but one.
    KillOthers,
    /// SIGSTOP and SIGCONT of a gateway.
    Pause,
    /// SIGTERM of a gateway; it starts again.
    Terminate,
    /// SIGHUP of a gateway.
    Reload,
    /// The store rejects a gateway.
    RejectMachine,
    /// The store is down or slow.
    StoreDown,
    /// The store drops its history.
    StoreCompacted,
    /// The store is away for a moment and comes back from an older copy.
    StoreCopy,
}

const FAULTS: [ManifestFault; 10] = [
    ManifestFault::Kill,
    ManifestFault::KillOthers,
    ManifestFault::Pause,
    ManifestFault::Terminate,
    ManifestFault::Reload,
    ManifestFault::RejectMachine,
    ManifestFault::RejectMachine,
    ManifestFault::StoreDown,
    ManifestFault::StoreCompacted,
    ManifestFault::StoreCopy,
];

struct GatewaySlot {
    settings: PathBuf,
    http_address: SocketAddr,
    status_address: SocketAddr,
    entry: StoreEntry,
    child: Option<ChildProcess>,
    /// Start and end of a disruption of its process.
    disrupted: Option<(Instant, Instant)>,
    /// Start and end of the time in which the store rejects it.
    rejected: Option<(Instant, Instant)>,
}

impl GatewaySlot {
    /// Kills the process, unless it is disrupted already. It starts again at `until`.
    fn kill(&mut self, now: Instant, until: Instant) {
        let Some(mut child) = self.child.take_if(|_| self.disrupted.is_none()) else { return };
        child.kill().expect("the process is ours");
        self.disrupted = Some((now, until));
    }
}

/// Answer of a gateway.
#[derive(Debug, Clone)]
struct Answer {
    gateway: usize,
    route: u64,
    key: u64,
    sent: Instant,
    answered: Instant,
    status: u16,
}

/// Answer that only an older manifest allows.
#[derive(Debug)]
pub(crate) struct Violation {
    gateway: usize,
    status: u16,
    route: u64,
    key: u64,
    /// Time since the start of the run.
    sent: Duration,
    bound: Duration,
    /// First manifest that may be in force.
    version: u64,
    /// Disruptions before it, by their time since the start of the run.
    faults: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Violation { gateway, status, route, key, sent, bound, version, faults } = self;
        write!(
            formatter,
            "{status} at {} for route {route} with key {key}, sent at {sent:.3?}; version {version} \
             or a later one must be in force after {bound:?}; faults before: {}",
            gateway_name(*gateway),
            faults.join(", ")
        )
    }
}

/// Result of a run.
#[derive(Debug, Default)]
pub(crate) struct ManifestOutcome {
    /// Number of answers that were compared with the manifests.
    pub(crate) judged: usize,
    pub(crate) violations: Vec<Violation>,
}

/// Processes and fakes of a run.
pub(crate) struct ManifestFleet {
    /// Random numbers of the disruptions, of the manifests and of the requests, apart from each other,
    /// so that the first two depend on the seed only.
    fault_rng: ChaCha8Rng,
    manifest_rng: ChaCha8Rng,
    request_rng: ChaCha8Rng,
    directory: PathBuf,
    store: FakeStore,
    runner: FakeRunner,
    gateways: Vec<GatewaySlot>,
    manifest: Manifest,
    record: ManifestRecord,
    contact: ContactRecord,
    copies: Vec<(Instant, StoreCopy)>,
    /// End of the present trouble of the store.
    store_disrupted: Option<(Instant, Instant)>,
    /// Copy from which the store comes back then.
    comes_back_from: Option<StoreCopy>,
    answers: Arc<Mutex<Vec<Answer>>>,
    in_flight: JoinSet<()>,
    started: Instant,
    faults: Vec<(Instant, String)>,
    sequence: u64,
    next_request: u64,
}

impl ManifestFleet {
    /// Starts all processes and waits until they are ready.
    pub(crate) async fn start(seed: u64) -> ManifestFleet {
        let directory = std::env::temp_dir()
            .join(format!("dragonflycart-manifests-{}-{seed}", std::process::id()));
        fs::create_dir_all(&directory).expect("the temporary directory is writable");
        let log = RunLog::default();
        let options = runner_options("i-desk", RunnerKind::PlainService, "desk");
        let mut fleet = ManifestFleet {
            fault_rng: random_stream(seed, 0),
            manifest_rng: random_stream(seed, 1),
            request_rng: random_stream(seed, 2),
            directory,
            store: FakeStore::start().await,
            runner: FakeRunner::start(options, &log, 1).await,
            gateways: Vec::new(),
            manifest: Manifest {
                version: 1,
                routes: (0..RECENT).collect(),
                keys: (0..RECENT).collect(),
            },
            record: ManifestRecord::default(),
            contact: ContactRecord::default(),
            copies: Vec::new(),
            store_disrupted: None,
            comes_back_from: None,
            answers: Arc::default(),
            in_flight: JoinSet::new(),
            started: Instant::now(),
            faults: Vec::new(),
            sequence: 0,
            next_request: 0,
        };
        fleet.publish();
        fleet.heartbeat();
        let peer_port = free_address().port();
        for number in 0..ZONES.len() * GATEWAYS_PER_ZONE {
            let entry = fleet.store.open_entry().await;
            fleet.add_gateway(seed, number, peer_port, entry);
        }
        let deadline = Instant::now() + START_TIMEOUT;
        for number in 0..fleet.gateways.len() {
            while !is_ready(fleet.gateways[number].status_address).await {
                assert!(Instant::now() < deadline, "{} is not ready", gateway_name(number));
                tokio::time::sleep(Duration::from_millis(50)).await;
                fleet.heartbeat();
            }
        }
        fleet.started = Instant::now();
        fleet
    }

    fn add_gateway(&mut self, seed: u64, number: usize, peer_port: u16, entry: StoreEntry) {
        // Each process has its own IP address, as if it ran on its own machine.
        let ip = format!("127.0.{}.{}", 60 + seed % 100, 10 + number);
        let address = |port: u16| format!("{ip}:{port}").parse::<SocketAddr>().expect("an address");
        let (http_address, status_address) =
            (address(free_address().port()), address(free_address().port()));
        let (name, zone) = (gateway_name(number), ZONES[number % ZONES.len()]);
        let text =
            settings_text(&name, zone, http_address, status_address, peer_port, entry.address());
        let settings = self.directory.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the temporary directory is writable");
        let child = Some(GatewayUnderTest::start_process(&settings));
        self.gateways.push(GatewaySlot {
            settings,
            http_address,
            status_address,
            entry,
            child,
            disrupted: None,
            rejected: None,
        });
    }

    /// Writes the present manifest and records it.
    fn publish(&mut self) {
        let sent = Instant::now();
        self.store.put_order("config", &self.manifest.to_json());
        self.record.push(sent, self.manifest.clone());
    }

    /// Adds a route or a key, or withdraws the oldest one.
    fn change_manifest(&mut self) {
        let manifest = &mut self.manifest;
        manifest.version += self.manifest_rng.random_range(1..4);
        let numbers =
            if self.manifest_rng.random() { &mut manifest.routes } else { &mut manifest.keys };
        let next = numbers.last().map_or(0, |last| last + 1);
        if numbers.len() > 2 && self.manifest_rng.random() {
            numbers.pop_first();
        } else {
            numbers.insert(next);
        }
        self.publish();
    }

    fn heartbeat(&mut self) {
        self.sequence += 1;
        self.store.put_server(self.runner.id(), &self.runner.registration(self.sequence));
    }

    /// Changes the manifest, asks all gateways and injects disruptions.
    pub(crate) async fn run(&mut self, duration: Duration) {
        let start = Instant::now();
        let (mut next_manifest, mut next_fault) = (start, start);
        let (mut next_heartbeat, mut next_copy) = (start, start);
        while start.elapsed() < duration {
            let now = Instant::now();
            self.heal(now, false);
            let is_away = self.comes_back_from.is_some();
            if now >= next_heartbeat && !is_away {
                self.heartbeat();
                next_heartbeat = now + HEARTBEAT;
            }
            if now >= next_copy && !is_away {
                self.copies.push((now, self.store.copy()));
                self.copies.retain(|(at, _)| now - *at <= MAX_COPY_AGE);
                next_copy = now + COPY_INTERVAL;
            }
            if now >= next_manifest && !is_away {
                self.change_manifest();
                next_manifest = now + millis(&mut self.manifest_rng, MANIFEST_PAUSE_MS);
            }
            if now >= next_fault {
                self.inject(now);
                next_fault = now + millis(&mut self.fault_rng, FAULT_PAUSE_MS);
            }
            for gateway in 0..self.gateways.len() {
                self.ask(gateway);
            }
            tokio::time::sleep(STEP).await;
        }
        self.heal(Instant::now(), true);
        while self.in_flight.join_next().await.is_some() {}
    }

    /// Sends a request on a recent route with a recent key to a gateway.
    fn ask(&mut self, gateway: usize) {
        let recent = |last: Option<&u64>, rng: &mut ChaCha8Rng| {
            let last = last.copied().unwrap_or(0);
            last.saturating_sub(rng.random_range(0..RECENT + 2))
        };
        let route = recent(self.manifest.routes.last(), &mut self.request_rng);
        let key = recent(self.manifest.keys.last(), &mut self.request_rng);
        self.next_request += 1;
        let request = CallerRequest {
            id: format!("m-{}", self.next_request),
            method: "GET",
            path: format!("{}x", route_prefix(route)),
            key: key_text(key),
            tokens: None,
            inner_parts: Vec::new(),
            body: Bytes::new(),
            time_limit: REQUEST_TIME,
        };
        let address = self.gateways[gateway].http_address;
        let answers = Arc::clone(&self.answers);
        self.in_flight.spawn(async move {
            let sent = Instant::now();
            let Some(status) = send(address, &request).await.status else { return };
            let answered = Instant::now();
            let answer = Answer { gateway, route, key, sent, answered, status };
            answers.lock().expect("no holder panics").push(answer);
        });
    }

    fn inject(&mut self, now: Instant) {
        let fault = FAULTS[self.fault_rng.random_range(0..FAULTS.len())];
        let target = self.fault_rng.random_range(0..self.gateways.len());
        let until = now + millis(&mut self.fault_rng, FAULT_DURATION_MS);
        let slot = &mut self.gateways[target];
        match fault {
            ManifestFault::Kill => slot.kill(now, until),
            ManifestFault::KillOthers => {
                for (number, slot) in self.gateways.iter_mut().enumerate() {
                    if number != target {
                        slot.kill(now, until);
                    }
                }
            }
            ManifestFault::Pause | ManifestFault::Terminate => {
                let Some(child) = slot.child.as_mut().filter(|_| slot.disrupted.is_none()) else {
                    return;
                };
                if fault == ManifestFault::Pause {
                    child.pause().expect("the process is ours");
                } else {
                    child.terminate().expect("the process is ours");
                }
                slot.disrupted = Some((now, until));
            }
            ManifestFault::Reload => {
                let Some(child) = slot.child.as_mut().filter(|_| slot.disrupted.is_none()) else {
                    return;
                };
                child.reload().expect("the process is ours");
            }
            ManifestFault::RejectMachine => {
                if slot.rejected.is_some() {
                    return;
                }
                let modes = [StoreMode::Busy, StoreMode::Reset, StoreMode::Silent];
                slot.entry.set_mode(modes[self.fault_rng.random_range(0..modes.len())]);
                slot.rejected = Some((now, until + (until - now) * 2));
            }
            ManifestFault::StoreDown | ManifestFault::StoreCopy => {
                if self.store_disrupted.is_some() {
                    return;
                }
                let modes = [
                    StoreMode::Busy,
                    StoreMode::Reset,
                    StoreMode::Silent,
                    StoreMode::Slow(Duration::from_millis(400)),
                ];
                if fault == ManifestFault::StoreDown {
                    self.store.set_mode(modes[self.fault_rng.random_range(0..modes.len())]);
                    self.store_disrupted = Some((now, until));
                } else {
                    let Some((_, copy)) = self.copies.first() else { return };
                    self.comes_back_from = Some(copy.clone());
                    self.store.set_mode(StoreMode::Reset);
                    self.store_disrupted = Some((now, now + STORE_AWAY));
                }
            }
            ManifestFault::StoreCompacted => self.store.compact(),
        }
        let name = gateway_name(target);
        let text = match fault {
            ManifestFault::StoreDown | ManifestFault::StoreCopy | ManifestFault::StoreCompacted => {
                format!("{fault:?}")
            }
            _ => format!("{fault:?} {name}"),
        };
        self.faults.push((now, text));
    }

    /// Ends the disruptions that are due, or all of them.
    fn heal(&mut self, now: Instant, heal_all: bool) {
        let is_due = |until: Instant| heal_all || until <= now;
        for (number, slot) in self.gateways.iter_mut().enumerate() {
            if let Some(child) = &mut slot.child
                && child.has_ended().expect("the process is ours")
            {
                slot.child = None;
            }
            if let Some((since, _)) = slot.disrupted.take_if(|(_, until)| is_due(*until)) {
                match &slot.child {
                    // A process that was told to stop may still be ending.
                    Some(child) => child.resume().expect("the process is ours"),
                    None => slot.child = Some(GatewayUnderTest::start_process(&slot.settings)),
                }
                self.contact.note_machine(number, since, now);
            }
            if slot.child.is_none() && slot.disrupted.is_none() {
                slot.child = Some(GatewayUnderTest::start_process(&slot.settings));
                self.contact.note_machine(number, now, now);
            }
            if let Some((since, _)) = slot.rejected.take_if(|(_, until)| is_due(*until)) {
                slot.entry.set_mode(StoreMode::Up);
                self.contact.note_store(StoreTrouble::Rejecting, since, now);
            }
        }
        if let Some((since, _)) = self.store_disrupted.take_if(|(_, until)| is_due(*until)) {
            if let Some(copy) = self.comes_back_from.take() {
                self.store.come_back_from(&copy);
                self.copies.clear();
                self.heartbeat();
                self.store.put_order("config", &self.manifest.to_json());
            }
            self.store.set_mode(StoreMode::Up);
            self.contact.note_store(StoreTrouble::Down, since, now);
        }
    }

    /// Ends all processes and compares the answers with the manifests.
    pub(crate) fn close(mut self) -> ManifestOutcome {
        for slot in &mut self.gateways {
            slot.child = None;
        }
        // A directory that can't be removed doesn't fail the run.
        drop(fs::remove_dir_all(&self.directory));
        let answers = std::mem::take(&mut *self.answers.lock().expect("no holder panics"));
        let mut outcome = ManifestOutcome::default();
        for answer in &answers {
            if !matches!(answer.status, 200 | 401 | 403 | 404) {
                continue;
            }
            let Some(bound) = self.contact.bound(answer.gateway, answer.sent, answer.answered)
            else {
                continue;
            };
            outcome.judged += 1;
            let in_force_by = answer.sent.checked_sub(bound).unwrap_or(answer.sent);
            let allowed = self.record.allowed(in_force_by, answer.answered);
            let is_allowed = allowed
                .iter()
                .any(|(_, _, manifest)| manifest.allows(answer.route, answer.key, answer.status));
            if !is_allowed {
                outcome.violations.push(self.violation(answer, bound, allowed[0].2.version));
            }
        }
        outcome
    }

    fn violation(&self, answer: &Answer, bound: Duration, version: u64) -> Violation {
        let before = self.faults.iter().filter(|(at, _)| *at <= answer.answered);
        let faults = before
            .map(|(at, text)| format!("{text} at {:.1?}", at.duration_since(self.started)))
            .collect();
        Violation {
            gateway: answer.gateway,
            status: answer.status,
            route: answer.route,
            key: answer.key,
            sent: answer.sent.duration_since(self.started),
            bound,
            version,
            faults,
        }
    }
}

fn gateway_name(number: usize) -> String {
    format!("edge-{}-{}", ZONES[number % ZONES.len()], 1 + number / ZONES.len())
}

fn random_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

fn millis(rng: &mut ChaCha8Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
