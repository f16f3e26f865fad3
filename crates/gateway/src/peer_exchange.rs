//! Exchanges load and state reports with the other VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use prost::Message;
use tokio::{net::UdpSocket, time::Instant};
use tracing::{info, warn};

use crate::{
    BootTime, FleetTable, FleetView, GatewayContext, LeavingEntry, LoadEntry, PeerReport,
    ReportRecipients, ResultCounts, RouteEntry, RouteResults, ServerLoad, StorePosition,
    UsualResults, VersionMove, VersionMoveEntry, VersionMoveEvidence, VersionMovePhase, VmRecord,
    admission::{apply_report, fill_report},
    capacity::{self, SpeedSchedule},
    containment::evidence_exchange::EvidenceExchange,
    duties::DutyExchange,
};

/// Minimum time between two reports sent because of a change.
const REPORT_SPACING: Duration = Duration::from_millis(5);
/// Interval at which the table of VMs is read. It can be long, because new VMs send reports to all
/// others.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(60);
/// Pause before registering or reading registrations is retried after the store failed.
const REGISTER_PAUSE: Duration = Duration::from_millis(700);
/// Mean interval between the registrations of all VMs after the store has lost them.
const REGISTER_INTERVAL: Duration = Duration::from_millis(16);
/// Number of other VMs that a report names.
const PEERS_NAMED: usize = 3;
/// Interval, in number of reports, at which a report names other VMs. Reports cross zones, and that
/// traffic is billed by the byte.
const NAMING_INTERVAL: u64 = 8;
/// Minimum time for which a VM keeps reporting a server as leaving.
const LEAVING_REPEATED: Duration = Duration::from_millis(800);
/// Time by which a report may be late on a busy VM before the VM counts as suspended since the last
/// one.
const SUSPENSION_SLACK: Duration = Duration::from_secs(1);
/// Time after the start during which registered VMs count as running even if no report was received
/// from them.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Sender and receiver of reports.
pub struct PeerExchange {
    context: Arc<GatewayContext>,
    socket: Arc<UdpSocket>,
    evidence: EvidenceExchange,
    duties: Option<DutyExchange>,
    sequence: u64,
    speeds: SpeedSchedule,
    started: Instant,
    /// Time of the last report, by the clock that keeps running while the VM is suspended.
    reported_at: BootTime,
}

impl PeerExchange {
    /// Builds the exchange on a bound socket.
    pub fn new(context: &Arc<GatewayContext>, socket: UdpSocket) -> PeerExchange {
        let socket = Arc::new(socket);
        PeerExchange {
            context: Arc::clone(context),
            evidence: EvidenceExchange::new(context, &socket),
            duties: DutyExchange::new(context, &socket),
            socket,
            sequence: 0,
            speeds: SpeedSchedule::default(),
            started: Instant::now(),
            reported_at: BootTime::now(),
        }
    }

    /// Exchanges reports for the lifetime of the process.
    pub async fn run(mut self) {
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let mut eras = context.store_era.subscribe();
            loop {
                // Register first: of two VMs that start at the same time, the one that registers
                // later then finds the other.
                register(&context).await;
                tokio::select! {
                    () = discover(&context) => {}
                    _ = eras.changed() => {}
                }
                let vms = context.view().vm_count as u32;
                tokio::time::sleep((REGISTER_INTERVAL * vms).mul_f64(rand::random())).await;
            }
        });
        tokio::spawn(EvidenceExchange::new(&self.context, &self.socket).run());
        if let Some(duties) = &self.duties {
            duties.clone().start();
        }
        let mut next_report = Instant::now();
        let mut buffer = vec![0_u8; 2 * PeerReport::DATAGRAM_BYTES];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, sender)) => self.receive(&buffer[..length], sender).await,
                    Err(error) => info!(%error, "peers: receive failed"),
                },
                () = tokio::time::sleep_until(next_report) => {
                    let interval = self.context.peers().report_interval();
                    self.send_reports(false).await;
                    next_report = Instant::now() + interval;
                }
                () = self.context.load_changes.notified() => {
                    self.send_reports(true).await;
                    let (is_large, interval) = {
                        let peers = self.context.peers();
                        (peers.is_large(), peers.report_interval())
                    };
                    if !is_large {
                        next_report = Instant::now() + interval;
                    }
                    tokio::time::sleep(REPORT_SPACING).await;
                }
            }
        }
    }

    async fn receive(&mut self, bytes: &[u8], sender: SocketAddr) {
        let is_duty = self.duties.as_ref().is_some_and(|duties| duties.receive(bytes, sender));
        if is_duty || self.evidence.receive(bytes, sender) {
            return;
        }
        if let Some(relayed) = self.apply_report(bytes, sender).await {
            self.relay(relayed).await;
        }
    }

    /// Applies a report. Returns it with its origin if it is to be relayed within the zone.
    async fn apply_report(&mut self, bytes: &[u8], sender: SocketAddr) -> Option<PeerReport> {
        let report = match PeerReport::decode(bytes) {
            Ok(report) => report,
            Err(error) => {
                info!(%sender, %error, "peers: report not understood");
                return None;
            }
        };
        let origin = match report.origin.as_str() {
            "" => sender,
            text => match text.parse() {
                Ok(origin) => origin,
                Err(_) => {
                    info!(peer = report.name, "peers: address not understood");
                    return None;
                }
            },
        };
        let now = self.context.clock.now();
        if report.boot == self.context.boot {
            return None;
        }
        let is_new = self.context.peers().is_new_process(&report, origin);
        if !self.context.peers().note_report(&report, origin, now) {
            return None;
        }
        if is_new {
            self.evidence.send_to(origin).await;
        }
        self.apply_peers(&report);
        let interval = self.context.peers().report_interval();
        apply_report(&report, &mut self.context.admission.table(), interval, now);
        let mut view = self.context.view();
        apply_loads(&mut view, &report, now);
        capacity::apply_speeds(&mut view, &report, now);
        let mut changed = apply_version_moves(&mut view, &report, now);
        for entry in &report.leaving {
            if view.note_leaving(&entry.server, entry.started_at_ms, entry.is_announced, now) {
                info!(server = entry.server, peer = report.name, "servers: leaving, says a peer");
                changed = true;
            }
        }
        drop(view);
        if changed {
            self.context.announce_change();
        }
        let is_relayed = report.is_for_zone && report.zone != self.context.settings.zone;
        is_relayed.then(|| PeerReport { is_for_zone: false, origin: origin.to_string(), ..report })
    }

    /// Sends a report of another zone to the VMs of this one.
    async fn relay(&self, report: PeerReport) {
        let recipients = self.context.peers().zone_recipients(self.context.clock.now());
        self.send_to(&report.into_datagram(), &recipients).await;
    }

    async fn send_to(&self, bytes: &[u8], recipients: &[SocketAddr]) {
        for address in recipients {
            if let Err(error) = self.socket.send_to(bytes, address).await {
                tracing::debug!(%address, %error, "peers: report not sent");
            }
        }
    }

    fn apply_peers(&self, report: &PeerReport) {
        let mut peers = self.context.peers();
        for entry in &report.peers {
            match entry.address.parse() {
                Ok(_) if entry.name == self.context.settings.name => {}
                Ok(address) => peers.add_if_unknown(&entry.name, address),
                Err(_) => info!(peer = report.name, "peers: address not understood"),
            }
        }
    }

    /// Sends a report to all VMs or, if `is_change` is set, to those that are told of changes at
    /// once.
    async fn send_reports(&mut self, is_change: bool) {
        let now = self.context.clock.now();
        let reported_at = BootTime::now();
        let pause = reported_at.since(self.reported_at);
        self.reported_at = reported_at;
        if pause > self.context.peers().report_interval() + SUSPENSION_SLACK {
            info!(pause_ms = pause.as_millis() as u64, "admission: figures dropped after a pause");
            self.context.admission.table().forget_figures();
        }
        self.sequence += 1;
        let (mut running, known, recipients) = {
            let mut peers = self.context.peers();
            let recipients = if is_change {
                let direct = peers.local_recipients(now);
                ReportRecipients { direct, ..ReportRecipients::default() }
            } else {
                peers.report_recipients(self.sequence, now)
            };
            (peers.running_count(now), peers.known_count(), recipients)
        };
        if self.started.elapsed() < SETTLING_TIME {
            running = running.max(known);
        }
        let mut report = self.build_report(running);
        let (is_large, interval) = {
            let peers = self.context.peers();
            (peers.is_large(), peers.report_interval())
        };
        if let Some(turn) = self.speeds.next_turn(!is_change || !is_large, interval, now) {
            report.speeds = capacity::speed_entries(&self.context.view(), turn, now);
            capacity::report_changes(&self.context);
        }
        if !recipients.relays.is_empty() {
            let relayed = PeerReport { is_for_zone: true, ..report.clone() };
            self.send_to(&relayed.into_datagram(), &recipients.relays).await;
        }
        self.send_to(&report.into_datagram(), &recipients.direct).await;
    }

    fn build_report(&self, running: usize) -> PeerReport {
        let now = self.context.clock.now();
        self.context.metrics.vms.set(running as i64 + 1);
        let leaving_repeated =
            LEAVING_REPEATED.max(self.context.peers().report_interval().mul_f64(1.5));
        let (can_read, peers) = {
            let table = self.context.peers();
            let is_naming = self.sequence.is_multiple_of(NAMING_INTERVAL);
            let count = if is_naming { PEERS_NAMED } else { 0 };
            let turn = self.sequence / NAMING_INTERVAL;
            (table.can_read(now), table.running_sample(count, turn, now))
        };
        let (possible, sharing, rank) = {
            let (table, uptime) = (self.context.peers(), self.started.elapsed());
            let sharing = table.sharing_count(uptime, now);
            (table.possible_count(uptime, now), sharing, table.own_rank(now))
        };
        let mut view = self.context.view();
        view.own_rank = rank;
        view.vm_count = running + 1;
        if let Some(sharing) = sharing {
            view.sharing_vms = sharing;
        }
        let mut report = PeerReport {
            name: self.context.settings.name.clone(),
            zone: self.context.settings.zone.clone(),
            boot: self.context.boot,
            sequence: self.sequence,
            plan_version: view.plan().map_or(0, |plan| plan.version),
            is_stopping: self.context.is_stopping(),
            can_read,
            peers,
            sharing_vms: possible as u32 + 1,
            ..PeerReport::default()
        };
        report.versions = view
            .open_version_moves()
            .map(|version_move| version_move_entry(version_move, now))
            .collect();
        for (_, state) in view.servers() {
            let lost = state.losses.own(now);
            if state.own_load != ServerLoad::default() || lost > 0 {
                report.loads.push(LoadEntry {
                    server: state.id.clone(),
                    requests: state.own_load.requests,
                    tokens: state.own_load.tokens,
                    copy_tokens: state.own_load.copy_tokens,
                    unread_tokens: state.own_load.pending_prompt_tokens,
                    lost,
                    arriving_tokens: state.own_load.arriving_tokens,
                });
            }
            if state.leaving_since.is_some_and(|since| now.since(since) < leaving_repeated) {
                report.leaving.push(LeavingEntry {
                    server: state.id.clone(),
                    started_at_ms: state.record.started_at_ms,
                    is_announced: state.has_drained,
                });
            }
        }
        drop(view);
        fill_report(&mut report, &mut self.context.admission.table(), now);
        report
    }
}

fn apply_loads(view: &mut FleetView, report: &PeerReport, now: dragonflycart_core::MonoTime) {
    let mut named = BTreeSet::new();
    for entry in &report.loads {
        let load = ServerLoad {
            requests: entry.requests,
            tokens: entry.tokens,
            copy_tokens: entry.copy_tokens,
            pending_prompt_tokens: entry.unread_tokens,
            arriving_tokens: entry.arriving_tokens,
        };
        view.note_peer_load(report.boot, &entry.server, load, now);
        view.note_peer_losses(report.boot, &entry.server, entry.lost, now);
        named.insert(entry.server.as_str());
    }
    view.clear_peer_loads(report.boot, &named);
}

/// Applies a peer's report about version moves. Returns whether a phase changed.
fn apply_version_moves(
    view: &mut FleetView,
    report: &PeerReport,
    now: dragonflycart_core::MonoTime,
) -> bool {
    let mut changed = false;
    for entry in &report.versions {
        let Some(phase) = VersionMovePhase::from_repr(entry.phase) else { continue };
        let position = StorePosition::new(entry.era, entry.number);
        let Some(known) = view.version_move_mut(&entry.service, position) else { continue };
        let mut results = RouteResults::new();
        let mut usual = BTreeMap::new();
        for route in &entry.routes {
            let old = ResultCounts { good: route.old_good, bad: route.old_bad };
            let new = ResultCounts { good: route.new_good, bad: route.new_bad };
            results.insert(route.route.clone(), [old, new]);
            let before = UsualResults {
                time_ms: route.usual_time_ms,
                pause_ms: route.usual_pause_ms,
                bad: route.usual_bad,
                total: route.usual_total,
            };
            usual.insert(route.route.clone(), before);
        }
        known.note_elapsed(Duration::from_millis(entry.elapsed_ms), now);
        let evidence = VersionMoveEvidence::from_results(results, usual);
        if known.note_peer(report.boot, evidence, phase, now) {
            info!(service = entry.service, %phase, peer = report.name, "versions: phase of a peer");
            changed = true;
        }
    }
    changed
}

/// Builds the report entry of an open version move.
fn version_move_entry(
    version_move: &VersionMove,
    now: dragonflycart_core::MonoTime,
) -> VersionMoveEntry {
    let mut routes = Vec::new();
    let own = version_move.own_evidence();
    let (results, usual) = (own.results(), own.usual());
    let names: BTreeSet<&String> = results.keys().chain(usual.keys()).collect();
    for route in names {
        let [old, new] = results.get(route).copied().unwrap_or_default();
        let before = usual.get(route).copied().unwrap_or_default();
        routes.push(RouteEntry {
            route: route.clone(),
            old_good: old.good,
            old_bad: old.bad,
            new_good: new.good,
            new_bad: new.bad,
            usual_time_ms: before.time_ms,
            usual_pause_ms: before.pause_ms,
            usual_bad: before.bad,
            usual_total: before.total,
        });
    }
    VersionMoveEntry {
        service: version_move.order().service.clone(),
        number: version_move.order_position().offset,
        era: version_move.order_position().era,
        phase: version_move.phase() as u32,
        elapsed_ms: version_move.elapsed(now).as_millis() as u64,
        routes,
    }
}

/// Registers this VM in the store.
async fn register(context: &GatewayContext) {
    let address = SocketAddr::new(context.settings.ip, context.settings.peer_port);
    let record = VmRecord {
        address: address.to_string(),
        zone: context.settings.zone.clone(),
        boot: context.boot,
    };
    let value = Bytes::from(record.encode_to_vec());
    loop {
        match context.store.write_vm(&context.settings.name, value.clone()).await {
            Ok(()) => {
                info!(%address, "peers: registered");
                return;
            }
            Err(error) => {
                warn!(%error, "peers: not registered");
                tokio::time::sleep(REGISTER_PAUSE).await;
            }
        }
    }
}

/// Reads the registrations of the other VMs, again and again.
async fn discover(context: &GatewayContext) {
    loop {
        let pause = match context.store.read_newest(FleetTable::Vms).await {
            Ok(batch) => {
                for record in batch.records {
                    let Some(value) = record.value else { continue };
                    if record.key == context.settings.name {
                        continue;
                    }
                    let address =
                        VmRecord::decode(value).ok().and_then(|vm| vm.address.parse().ok());
                    let Some(address) = address else {
                        warn!(vm = record.key, "peers: registration not understood");
                        continue;
                    };
                    context.peers().note_registration(&record.key, address);
                }
                context.peers().note_all_registered();
                DISCOVERY_INTERVAL
            }
            Err(error) => {
                info!(%error, "peers: registrations not read");
                REGISTER_PAUSE
            }
        };
        tokio::time::sleep(pause).await;
    }
}
