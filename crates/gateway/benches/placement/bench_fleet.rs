//! View of a VM in a large fleet whose servers differ in speed.

use std::{
    collections::{BTreeSet, VecDeque},
    fmt,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use dragonflycart_admission::AdmissionClass;
use dragonflycart_capacity::{PauseSample, RunningLoad};
use dragonflycart_core::{MonoTime, PromptPart};
use dragonflycart_gateway::{
    CallerLimits, EngineSpec, ExposureLimit, FleetOrder, FleetView, Placement, PlacementQuery,
    PlannedRoute, PlannedService, RouteKind, RoutePlan, RunEnd, ServerKey, ServerLoad,
    ServerRecord, StorePosition, TokenDemand, VmSettings,
};

/// Service of the engines.
const SERVICE: &str = "assistant";
/// Names of the zones; the VM is in the first one.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Time between two placements of the VM.
const STEP: Duration = Duration::from_millis(10);
/// Time at which all servers are measured.
const LEARNED_MS: u64 = 12_000;
/// Number of streams that the VM runs at the same time.
const RUNNING: usize = 20;
/// Interval at which a VM of a large fleet reports to VMs of other zones, in steps.
const REPORT_STEPS: u64 = 200;
/// Number of servers of which a response arrives per step.
const RESPONSES: u64 = 60;

/// Sizes of a fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetSize {
    pub(crate) servers: u64,
    pub(crate) vms: u64,
    /// Number of zones. With one zone, each placement compares all servers.
    pub(crate) zones: usize,
}

impl fmt::Display for FleetSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FleetSize { servers, vms, zones } = self;
        write!(formatter, "{servers} servers, {vms} VMs, {zones} zones")
    }
}

/// View of one VM, and what happens around it between its placements.
pub(crate) struct BenchFleet {
    size: FleetSize,
    view: FleetView,
    keys: Vec<ServerKey>,
    running: VecDeque<Placement>,
    step: u64,
    /// Checksum of the servers chosen so far.
    pub(crate) choices: u64,
}

impl BenchFleet {
    /// Builds the view. Every VM has load on every server, and a quarter of the servers is fast.
    pub(crate) fn new(size: FleetSize) -> BenchFleet {
        let mut view = FleetView::new(Arc::new(settings()));
        view.vm_count = size.vms as usize;
        view.sharing_vms = size.vms as usize;
        view.apply_order(FleetOrder::Plan(Arc::new(plan())), at(0));
        let mut keys = Vec::new();
        for index in 0..size.servers {
            let zone = ZONES[index as usize % size.zones];
            view.apply_server(
                &server_id(index),
                record(zone, index),
                StorePosition::new(0, index),
                at(0),
            );
        }
        view.note_servers_known();
        keys.extend(view.servers().map(|(key, _)| key));
        let mut fleet =
            BenchFleet { size, view, keys, running: VecDeque::new(), step: 0, choices: 0 };
        fleet.teach();
        for peer in 1..size.vms {
            fleet.report(peer, at(LEARNED_MS));
        }
        fleet
    }

    fn teach(&mut self) {
        for half in 0..24 {
            let now = at(half * LEARNED_MS / 24);
            for index in 0..self.keys.len() {
                self.respond(index, now);
            }
        }
    }

    /// Lets a server answer a stream.
    fn respond(&mut self, index: usize, now: MonoTime) {
        let key = self.keys[index];
        // Every zone has fast servers.
        let (factor, pace) = if (index / 4).is_multiple_of(4) { (1.0, 55) } else { (2.2, 120) };
        self.view.note_load_header(key, Some(&format!("8,0,24,{pace}")), now);
        let time = |millis: f64| Duration::from_secs_f64(millis * factor / 1_000.0);
        let run = self.view.start_run(key, "reports", now - time(300.0));
        self.view.note_run_load(run, RunningLoad { requests: 8, unread_tokens: 3_000 });
        self.view.note_run_started(run, now);
        let pause = PauseSample { usual: time(20.0), heavy: time(35.0) };
        self.view.note_run_pauses(run, pause, now);
        self.view.end_run(run, RunEnd::Good, now);
    }

    /// Applies a peer's report, which names all servers.
    fn report(&mut self, peer: u64, now: MonoTime) {
        // About 15 of 24 slots and half of the memory are in use.
        let memory = 14_000 / self.size.vms;
        for index in 0..self.size.servers {
            let draw = (peer * 31 + index * 17 + self.step) % self.size.vms;
            let load = ServerLoad {
                requests: u32::from(draw < 15),
                tokens: memory / 2 + draw % memory.max(1),
                pending_prompt_tokens: if draw == 0 { 3_000 } else { 0 },
                ..ServerLoad::default()
            };
            self.view.note_peer_load(peer, &server_id(index), load, now);
        }
    }

    /// Advances the time by a step, with the reports and responses that arrive in it.
    pub(crate) fn advance(&mut self) {
        self.step += 1;
        let now = self.now();
        for peer in 1..self.size.vms {
            if peer % REPORT_STEPS == self.step % REPORT_STEPS {
                self.report(peer, now);
            }
        }
        for offset in 0..RESPONSES {
            let index = (self.step * RESPONSES + offset) % self.size.servers;
            self.respond(index as usize, now);
        }
    }

    /// Places a stream and ends the oldest one.
    pub(crate) fn place(&mut self, is_long: bool) {
        let now = self.now();
        let excluded = BTreeSet::new();
        let query = query(is_long, self.step, &excluded);
        let placement = self.view.place(&query, now).expect("the fleet has room");
        self.running.push_back(placement);
        if self.running.len() > RUNNING
            && let Some(ended) = self.running.pop_front()
        {
            self.view.release(ended.server, ended.load);
        }
    }

    /// Adds the last choice to the checksum.
    pub(crate) fn note_choice(&mut self) {
        let Some(placement) = self.running.back() else { return };
        for byte in placement.id.bytes() {
            self.choices = (self.choices ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn now(&self) -> MonoTime {
        at(LEARNED_MS) + STEP * self.step as u32
    }
}

fn query(is_long: bool, seed: u64, excluded: &BTreeSet<ServerKey>) -> PlacementQuery<'_> {
    let (demand, latency_target, admission) = if is_long {
        (TokenDemand::estimate(3_000, 1_600, Some(750)), 1_800, AdmissionClass::Deferrable)
    } else {
        (TokenDemand::estimate(2_200, 40, Some(10)), 1_500, AdmissionClass::Urgent)
    };
    PlacementQuery {
        service: SERVICE,
        demand,
        latency_target: Duration::from_millis(latency_target),
        pause_target: Some(Duration::from_millis(180)),
        shared_prefix: Some(PromptPart::new(seed % 8)),
        preferred_zone: None,
        moved_tokens: 0,
        spread_seed: None,
        sample_seed: seed,
        admission,
        excluded,
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(60_000 + millis)
}

fn server_id(index: u64) -> String {
    format!("engine-{index:03}")
}

fn record(zone: &str, index: u64) -> ServerRecord {
    ServerRecord {
        service: SERVICE.to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000 + index as u16)),
        zone: zone.to_owned(),
        version: "v1".to_owned(),
        slots: 24,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_at_ms: Some(1),
    }
}

fn plan() -> RoutePlan {
    let route = PlannedRoute {
        name: "reports".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/reports/".to_owned(),
        kind: RouteKind::Stream,
        time_limit: Duration::from_secs(39),
        latency_target: Duration::from_millis(1_800),
        pause_target: Some(Duration::from_millis(180)),
        priority: 1,
        services: vec![(SERVICE.to_owned(), 1)],
        max_attempts: 2,
        is_public: false,
        is_resumable: false,
    };
    let engine = EngineSpec {
        memory_tokens: 26_897,
        can_move: true,
        can_back_up: true,
        tokens_per_event: 4,
        token_copy_time: Duration::from_micros(55),
    };
    let service = PlannedService {
        name: SERVICE.to_owned(),
        cold_rate: 38.0,
        health_path: "/health".to_owned(),
        engine: Some(engine),
        scaling: None,
    };
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    RoutePlan::new(1, vec![route], vec![service], limits, None)
}

fn settings() -> VmSettings {
    VmSettings {
        name: "vm-a-1".to_owned(),
        zone: ZONES[0].to_owned(),
        ip: IpAddr::from([127, 0, 0, 1]),
        caller_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        ready_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        peer_port: 0,
        memory_bytes: 110 << 20,
        cpu_share: 0.25,
        stop_grace: Duration::from_secs(8),
        retry_ratio: 0.2,
        retry_allowance: 58.0,
        exposure: ExposureLimit { share: 0.1, allowance: 50.0 },
        revocation_time: None,
        retry_window: Duration::from_secs(10),
        cloud: None,
    }
}
