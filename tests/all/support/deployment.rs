//! Daemon processes with fakes of the platform and of backend servers.

use std::{
    fmt::Write,
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use bytes::Bytes;
use dragonflycart_core::{ModelPlacement, OperatingPlan, ZoneName, ZonePlan, ZoneState};
use dragonflycart_interfaces::{HttpLogClient, LogService, LogTopic, VmEntry, VmState};
use dragonflycart_standins::free_address;
use dragonflycart_testkit::{
    DirectoryConfig, FakeDirectory, FakeEngine, FakeLog, FakeService, FakeWeights, FaultRelay,
    RelayCommand, RelayMode, RelayScope, WeightConfig,
};
use dragonflycart_wire::{LogEntry, PlanProposal, RecordBatch, log_entry::Kind};
use hyper::Method;
use prost::Message;

use crate::support::{Caller, DeploymentSpec, VmProcess, deployment_spec::model_version, wait_for};

/// Teams of every deployment.
const TEAMS: [&str; 3] = ["desk", "reports", "orders"];
/// Concurrency limit of each zone, high enough not to matter unless a test changes it.
const CONCURRENCY_LIMIT: u32 = 1_000;

static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// Daemon processes with fakes of the platform and of backend servers.
pub(crate) struct Deployment {
    /// Log service.
    pub(crate) log: FakeLog,
    /// VM list.
    pub(crate) directory: FakeDirectory,
    /// Weight store.
    pub(crate) weights: FakeWeights,
    /// Engines, ordered by zone.
    pub(crate) engines: Vec<FakeEngine>,
    /// Servers of the booking service, ordered by zone.
    pub(crate) bookings: Vec<FakeService>,
    /// Entry VMs, ordered by zone.
    pub(crate) vms: Vec<VmProcess>,
    /// Relay through which each VM reaches the log service.
    pub(crate) log_relays: Vec<FaultRelay>,
    /// Relay of each direction between two VMs, if the deployment has them.
    pub(crate) peer_relays: Vec<FaultRelay>,
    /// Relay in front of each engine, if the deployment has them.
    pub(crate) engine_relays: Vec<FaultRelay>,
    /// Plan that `submit_plan` submits.
    pub(crate) plan: OperatingPlan,
    /// Revision of the plan that the fixture submitted last.
    pub(crate) revision: u64,
    peer_addresses: Vec<SocketAddr>,
    /// Two VM indexes for each of `peer_relays`: the VM that connects through the relay, and the VM
    /// it leads to.
    peer_links: Vec<(usize, usize)>,
    submissions: u64,
    spec: DeploymentSpec,
    settings_dir: PathBuf,
}

impl Deployment {
    /// Starts everything, submits a first plan and waits until all VMs are ready.
    pub(crate) async fn start(spec: DeploymentSpec) -> Deployment {
        let mut deployment = Deployment::prepare(spec).await;
        deployment.submit_plan().await;
        for vm in &mut deployment.vms {
            vm.start();
        }
        for index in 0..deployment.vms.len() {
            deployment.wait_ready(index).await;
        }
        deployment
    }

    /// Starts the fakes and writes the settings; no VM runs yet and no plan is submitted.
    pub(crate) async fn prepare(spec: DeploymentSpec) -> Deployment {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let name = format!("dragonflycart-test-{}-{number}", std::process::id());
        let settings_dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&settings_dir).unwrap();
        let mut deployment = Deployment {
            log: FakeLog::start(spec.log.clone()).await.unwrap(),
            directory: FakeDirectory::start(DirectoryConfig::default()).await.unwrap(),
            weights: FakeWeights::start(WeightConfig::default()).await.unwrap(),
            engines: Vec::new(),
            bookings: Vec::new(),
            vms: Vec::new(),
            log_relays: Vec::new(),
            peer_relays: Vec::new(),
            engine_relays: Vec::new(),
            plan: initial_plan(&spec),
            revision: 0,
            peer_addresses: Vec::new(),
            peer_links: Vec::new(),
            submissions: 0,
            spec,
            settings_dir,
        };
        deployment.start_fakes().await;
        deployment.prepare_vms().await;
        deployment
    }

    async fn start_fakes(&mut self) {
        for _ in 0..self.spec.zones * self.spec.engines {
            let engine = FakeEngine::start(self.spec.engine.clone()).await.unwrap();
            if self.spec.engine_relays {
                let relay = FaultRelay::start(engine.address()).await.unwrap();
                self.engine_relays.push(relay);
            }
            self.engines.push(engine);
        }
        for _ in 0..self.spec.zones * self.spec.bookings {
            self.bookings.push(FakeService::start(self.spec.booking.clone()).await.unwrap());
        }
    }

    async fn prepare_vms(&mut self) {
        let count = usize::from(self.spec.zones * self.spec.vms_per_zone);
        let listen_addresses: Vec<[SocketAddr; 3]> =
            (0..count).map(|_| [free_address(), free_address(), free_address()]).collect();
        let mut entries = Vec::new();
        for (index, [_, _, peer]) in listen_addresses.iter().enumerate() {
            self.peer_addresses.push(*peer);
            let zone = zone_name(index as u16 / self.spec.vms_per_zone);
            entries.push(VmEntry { address: *peer, zone, state: VmState::Live });
            self.log_relays.push(FaultRelay::start(self.log.address()).await.unwrap());
        }
        if self.spec.peer_relays {
            // The VM list stays empty: its addresses would let VMs bypass the relays. VMs use it
            // only as a hint.
            self.start_peer_relays().await;
        } else {
            self.directory.replace(entries);
        }
        for (index, [http, admin, peer]) in listen_addresses.into_iter().enumerate() {
            let text = self.settings(index, index, [http, admin, peer]);
            let path = self.settings_dir.join(format!("vm-{index}.ini"));
            fs::write(&path, text).unwrap();
            self.vms.push(VmProcess::new(http, admin, path));
        }
    }

    async fn start_peer_relays(&mut self) {
        for (to, target) in self.peer_addresses.iter().enumerate() {
            for from in 0..self.peer_addresses.len() {
                if from != to {
                    let relay = FaultRelay::start(*target).await.unwrap();
                    self.peer_relays.push(relay);
                    self.peer_links.push((from, to));
                }
            }
        }
    }

    /// Returns the addresses at which VM `from` reaches the others.
    fn addresses_from(&self, from: usize) -> Vec<String> {
        let mut addresses = Vec::new();
        for (to, address) in self.peer_addresses.iter().enumerate() {
            if to == from {
                continue;
            }
            let link = self.peer_links.iter().position(|link| *link == (from, to));
            let address = link.map_or(*address, |link| self.peer_relays[link].address());
            addresses.push(address.to_string());
        }
        addresses
    }

    fn settings(
        &self,
        index: usize,
        log_relay: usize,
        [http, admin, peer]: [SocketAddr; 3],
    ) -> String {
        let spec = &self.spec;
        let zone = index as u16 / spec.vms_per_zone;
        let ordinal = index as u16 % spec.vms_per_zone;
        let mut text = format!(
            "[vm]\nzone = zone-{zone}\nseat = {ordinal}\nhttp = {http}\npeer = {peer}\n\
             admin = {admin}\ntraffic_threads = 2\n\n[zones]\n",
        );
        for zone in 0..spec.zones {
            writeln!(text, "zone-{zone} = {}, region-0", spec.vms_per_zone).unwrap();
        }
        let others = self.addresses_from(index);
        writeln!(
            text,
            "\n[peers]\naddresses = {}\n\n[platform]\nlog = {}\nvm_list = {}\n\
             weight_store = {}\n{}\n\n[timeouts]\n{}\n\n[drain]\n{}\n\n[log]\nlevel = info\n",
            others.join(", "),
            self.log_relays[log_relay].address(),
            self.directory.address(),
            self.weights.address(),
            spec.platform,
            spec.timeouts,
            spec.drain,
        )
        .unwrap();
        self.write_serving_sections(&mut text);
        text
    }

    fn write_serving_sections(&self, text: &mut String) {
        let prefix = if self.spec.forced_prefix { "yes" } else { "no" };
        writeln!(
            text,
            "[model:assistant]\nroutes = report, classify\nforced_prefix = {prefix}\n\n\
             [service:booking]\nidempotent = status\nnot_idempotent = book\nlookup = {}\n",
            if self.spec.booking.supports_lookup { "yes" } else { "no" },
        )
        .unwrap();
        for team in TEAMS {
            writeln!(text, "[team:{team}]\ncredential = {team}-credential-0001\n").unwrap();
        }
        writeln!(text, "[operator:ops]\ncredential = ops-credential-0001\n").unwrap();
        writeln!(text, "[operator:rival]\ncredential = rival-credential-0001\n").unwrap();
        for (index, engine) in self.engines.iter().enumerate() {
            let zone = index as u16 / self.spec.engines;
            let relay = self.engine_relays.get(index);
            let address = relay.map_or(engine.address(), FaultRelay::address);
            writeln!(
                text,
                "[engine:engine-{index}]\naddress = {address}\nzone = zone-{zone}\n\
                 models = assistant\nchecks_fences = yes\ncold_limit = 2\nramp = 5s\n",
            )
            .unwrap();
        }
        for (index, server) in self.bookings.iter().enumerate() {
            let zone = index as u16 / self.spec.bookings;
            writeln!(
                text,
                "[service-server:booking-{index}]\nservice = booking\naddress = {}\n\
                 zone = zone-{zone}\nconcurrency = 16\n",
                server.address(),
            )
            .unwrap();
        }
    }

    /// Starts another VM with the ordinal of VM `index`, as a replacement whose predecessor still
    /// runs, and returns its index.
    pub(crate) async fn start_replacement(&mut self, index: usize) -> usize {
        let [http, admin, peer] = [free_address(), free_address(), free_address()];
        self.log_relays.push(FaultRelay::start(self.log.address()).await.unwrap());
        let mut text = self.settings(index, self.vms.len(), [http, admin, peer]);
        // The replacement connects to its predecessor too, which learns of it from the `Hello`.
        let predecessor = self.peer_addresses[index];
        text = text.replacen("addresses = ", &format!("addresses = {predecessor}, "), 1);
        let path = self.settings_dir.join(format!("vm-{}.ini", self.vms.len()));
        fs::write(&path, text).unwrap();
        let mut vm = VmProcess::new(http, admin, path);
        vm.start();
        self.vms.push(vm);
        self.vms.len() - 1
    }

    /// Cuts a VM off from the log service, or connects it again.
    pub(crate) fn cut_log(&self, index: usize, cut: bool) {
        set_link_cut(&self.log_relays[index], cut);
    }

    /// Cuts a VM off from all peers, or connects it again. Needs `peer_relays` in the spec.
    pub(crate) fn cut_peers(&self, index: usize, cut: bool) {
        for (relay, (from, to)) in self.peer_relays.iter().zip(&self.peer_links) {
            if *from == index || *to == index {
                set_link_cut(relay, cut);
            }
        }
    }

    /// Returns the HTTP address of each VM.
    pub(crate) fn http_addresses(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.http).collect()
    }

    /// Returns how many requests reached a cold engine beyond what it could handle, summed over all
    /// engines.
    pub(crate) fn cold_overloads(&self) -> u64 {
        self.engines.iter().map(|engine| engine.stats().cold_overloads).sum()
    }

    /// Returns how many generations of a version the engines accepted.
    pub(crate) fn accepted_generations(&self, version: &str) -> usize {
        let prefix = format!("{version} ");
        let mut count = 0;
        for engine in &self.engines {
            let stats = engine.stats();
            count += stats.accepted.iter().filter(|entry| entry.starts_with(&prefix)).count();
        }
        count
    }

    /// Appends the plan as a proposal on the current revision and returns the new revision.
    pub(crate) async fn submit_plan(&mut self) -> u64 {
        self.submissions += 1;
        let proposal = PlanProposal {
            base_revision: self.revision,
            submit_id: format!("fixture-{}", self.submissions),
            author: "ops".to_owned(),
            body: Bytes::from(serde_json::to_vec(&self.plan).unwrap()),
            submitted_at_ms: unix_millis(),
        };
        let batch = RecordBatch {
            writer: Bytes::from_static(b"fixture-writer-0"),
            sequence: self.submissions,
            written_at_ms: unix_millis(),
            entries: vec![LogEntry { kind: Some(Kind::PlanProposal(proposal)) }],
        };
        let client = HttpLogClient::new(self.log.address());
        client.append(LogTopic::Plan, Bytes::from(batch.encode_to_vec())).await.unwrap();
        self.revision += 1;
        self.revision
    }

    /// Waits until a VM is ready: it accepts work from the load balancer and can place a request.
    pub(crate) async fn wait_ready(&self, index: usize) {
        let caller = Caller::new("desk");
        let address = self.vms[index].http;
        wait_for("a VM to be ready", || async {
            let response = caller.send(Method::GET, address, "/readyz", &[], "").await.ok()?;
            (response.status == 200).then_some(())
        })
        .await;
    }

    /// Returns the value of a metric of a VM.
    pub(crate) async fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let caller = Caller::new("desk");
        let address = self.vms[index].http;
        let response = caller.send(Method::GET, address, "/metrics", &[], "").await.ok()?;
        let text = String::from_utf8(response.body.to_vec()).ok()?;
        let line = text.lines().find(|line| {
            line.strip_prefix(name).is_some_and(|rest| rest.starts_with([' ', '{']))
        })?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Waits until a VM has a plan revision in effect and returns how long it took.
    pub(crate) async fn wait_revision(&self, index: usize, revision: u64) -> Duration {
        let start = tokio::time::Instant::now();
        wait_for("a plan revision to be in effect", || async {
            let found = self.metric(index, "dragonflycart_plan_revision").await?;
            (found >= revision as f64).then_some(())
        })
        .await;
        start.elapsed()
    }

    /// Returns how often calls with `key` were executed, over all booking servers.
    pub(crate) fn executions(&self, key: &str) -> usize {
        self.bookings.iter().map(|server| server.stats().executions(key)).sum()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // The directory holds only this deployment's settings files.
        let _ = fs::remove_dir_all(&self.settings_dir);
    }
}

/// Discards all bytes on a relay's connections, or closes these and lets new ones pass.
fn set_link_cut(relay: &FaultRelay, cut: bool) {
    if cut {
        relay.apply(RelayCommand { scope: RelayScope::All, mode: RelayMode::Discard });
        return;
    }
    relay.apply(RelayCommand { scope: RelayScope::New, mode: RelayMode::Pass });
    relay.apply(RelayCommand { scope: RelayScope::Open, mode: RelayMode::Cut });
}

fn initial_plan(spec: &DeploymentSpec) -> OperatingPlan {
    let mut plan = OperatingPlan::default();
    let (model, version) = model_version("assistant", "v1");
    for zone in 0..spec.zones {
        let zone = zone_name(zone);
        let limits = ZonePlan { state: ZoneState::In, concurrency_limit: CONCURRENCY_LIMIT };
        plan.zones.insert(zone.clone(), limits);
        let (model, version) = (model.clone(), version.clone());
        plan.placements.push(ModelPlacement { zone, model, version });
    }
    plan
}

/// Returns the name of a zone by its number.
pub(crate) fn zone_name(zone: u16) -> ZoneName {
    ZoneName::new(&format!("zone-{zone}")).unwrap()
}

fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}
