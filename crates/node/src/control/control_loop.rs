//! Event loop of the control thread.

mod admin_requests;
mod request_placement;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dragonflycart_burn::BurnTracker;
use dragonflycart_core::{
    Incarnation, ModelName, MonoTime, PlanRevision, RouteName, ServerName, VersionName, WallTime,
};
use dragonflycart_interfaces::LogTopic;
use dragonflycart_policy::{MoveSettings, MoveState, RequestTicket};
use dragonflycart_settings::Config;
use dragonflycart_state::LedgerLimits;
use dragonflycart_wire::{
    MoveEnd, PeerMessage, log_entry::Kind as RecordKind, peer_message::Kind as PeerKind,
};
use log::warn;
use tokio::{
    sync::{broadcast, mpsc, watch},
    time::MissedTickBehavior,
};

use crate::{
    containment::CrashWatch,
    control::{
        ControlMessage,
        append_control::AppendControl,
        call_control::{CallControl, StepContext},
        control_setup::burn_tracker,
        decoded_batch::DecodedBatch,
        job_control::JobControl,
        order_control::{OrderControl, OrderInputs},
        peer_control::PeerControl,
        placement_control::PlacementControl,
        plan_control::PlanControl,
        submit_control::SubmitControl,
        version_control::{MoveEnding, VersionControl},
    },
    job::JobAttempt,
    log_appender::AppendRequest,
    log_tailer::TailEvent,
    node_clock::NodeClock,
    node_lifecycle::LifecyclePhase,
    node_metrics::NodeMetrics,
    order_sender::OrderTask,
    peer::{PeerEvent, PeerIdentity},
};

/// Interval of placement decisions. A request that can start immediately does not wait for it.
const PLACEMENT_PERIOD: Duration = Duration::from_millis(5);
/// Interval of reports about prompts that crash engines, for VMs that have just started.
const SUSPECT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of less urgent tasks such as version moves, heartbeats and metrics.
const PERIODIC_TASK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum interval between two attempts to append a plan snapshot.
const SNAPSHOT_RETRY: Duration = Duration::from_secs(60);
/// Maximum number of messages handled between two checks of the timers.
const MESSAGE_BATCH: usize = 256;

/// Mean time between tokens above which a request counts as slow in the evidence about model
/// versions. It is the target for 95 in 100 gaps.
const SLOW_TOKEN_GAP: Duration = Duration::from_millis(72);
/// Time without a token after which an open request counts as slow.
const UNANSWERED_LIMIT: Duration = Duration::from_secs(2);
/// Time to the first token above which a finished request counts as slow.
const SLOW_FIRST_TOKEN: Duration = Duration::from_millis(360);

/// Everything that the control thread is started with.
pub(crate) struct ControlContext {
    /// Settings.
    pub(crate) config: Arc<Config>,
    /// Clocks.
    pub(crate) clock: NodeClock,
    /// Identifies this run of the process.
    pub(crate) incarnation: Incarnation,
    /// Metrics.
    pub(crate) metrics: Arc<NodeMetrics>,
    /// Becomes true once a plan is in effect and every backend server was polled for its load.
    pub(crate) prepared: watch::Sender<bool>,
    /// Placement, built before the thread starts so that an unknown policy is a startup error.
    pub(crate) placement: PlacementControl,
    /// Identity that this VM states to its peers.
    pub(crate) identity: PeerIdentity,
    /// Messages sent to all peers.
    pub(crate) broadcasts: broadcast::Sender<PeerMessage>,
    /// Addresses of the peers to stay connected to.
    pub(crate) addresses: watch::Sender<BTreeSet<SocketAddr>>,
    /// Attempts of deferred generations to run.
    pub(crate) jobs: mpsc::UnboundedSender<JobAttempt>,
    /// Orders to engines to send.
    pub(crate) orders: mpsc::UnboundedSender<OrderTask>,
    /// Phase of the daemon.
    pub(crate) phase: watch::Receiver<LifecyclePhase>,
    /// Appends to perform.
    pub(crate) appends: mpsc::UnboundedSender<AppendRequest>,
    /// Prompts that crash engines.
    pub(crate) crashes: Arc<CrashWatch>,
}

/// A running request, as needed to collect evidence about its model version.
struct TrackedRequest {
    model: ModelName,
    version: VersionName,
    route: RouteName,
    /// Time of the last dispatch. Waiting for a server before it does not count against the
    /// version.
    sent_at: Option<WallTime>,
    /// Time of the last report of tokens since then.
    progress_at: Option<WallTime>,
    /// Whether the request has been counted.
    counted: bool,
}

/// Event loop of the control thread.
pub(crate) struct ControlLoop {
    config: Arc<Config>,
    clock: NodeClock,
    metrics: Arc<NodeMetrics>,
    prepared: watch::Sender<bool>,
    /// Backend servers that have not been polled for their load yet.
    unpolled: BTreeSet<ServerName>,
    /// Whether a plan has been in effect.
    had_plan: bool,
    placement: PlacementControl,
    plan: PlanControl,
    versions: VersionControl,
    running: BTreeMap<RequestTicket, TrackedRequest>,
    appends: AppendControl,
    calls: CallControl,
    jobs: JobControl,
    peers: PeerControl,
    submissions: SubmitControl,
    burn: BurnTracker,
    identity: PeerIdentity,
    phase: watch::Receiver<LifecyclePhase>,
    /// Time since which the log service has been unreachable.
    log_lost_at: Option<MonoTime>,
    /// Time of the last attempt to append a plan snapshot.
    snapshot_at: Option<MonoTime>,
    orders: OrderControl,
    /// Time at which topic `plan` was last read to its end.
    plan_read_at: Option<MonoTime>,
    crashes: Arc<CrashWatch>,
    /// Time of the last report about prompts that crash engines.
    suspects_sent_at: MonoTime,
}

impl ControlLoop {
    /// Creates the loop.
    pub(crate) fn new(context: ControlContext) -> ControlLoop {
        let retention = context.config.platform.record_retention;
        let call_window = context.config.timeouts.call_window;
        let limits = LedgerLimits { call_window, retention, ..LedgerLimits::default() };
        let now = context.clock.now();
        ControlLoop {
            plan: PlanControl::new(retention),
            versions: VersionControl::new(context.incarnation, MoveSettings::default()),
            running: BTreeMap::new(),
            appends: AppendControl::new(context.incarnation, context.appends),
            calls: CallControl::new(context.incarnation, limits),
            jobs: JobControl::new(context.incarnation, limits, context.jobs),
            peers: PeerControl::new(&context.identity, context.broadcasts, context.addresses, now),
            submissions: SubmitControl::default(),
            burn: burn_tracker(&context.config, context.incarnation, context.clock.wall()),
            identity: context.identity,
            phase: context.phase,
            // Until the first read, the log service counts as unreachable.
            log_lost_at: Some(now),
            snapshot_at: None,
            orders: OrderControl::new(&context.config, context.orders),
            plan_read_at: None,
            crashes: context.crashes,
            suspects_sent_at: now,
            config: context.config,
            clock: context.clock,
            metrics: context.metrics,
            prepared: context.prepared,
            had_plan: false,
            unpolled: context.placement.servers().keys().cloned().collect(),
            placement: context.placement,
        }
    }

    /// Runs until it receives [`ControlMessage::Stop`] or all senders of messages are dropped.
    pub(crate) async fn run(mut self, mut messages: mpsc::Receiver<ControlMessage>) {
        let mut placement_timer = tokio::time::interval(PLACEMENT_PERIOD);
        placement_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut periodic_timer = tokio::time::interval(PERIODIC_TASK_INTERVAL);
        periodic_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MESSAGE_BATCH);
        loop {
            tokio::select! {
                biased;
                _ = placement_timer.tick() => {
                    let now = self.clock.now();
                    self.run_placement(now);
                    self.appends.poll(now, self.clock.wall());
                }
                _ = periodic_timer.tick() => self.run_periodic_tasks(),
                count = messages.recv_many(&mut batch, MESSAGE_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    let mut submitted = false;
                    for message in batch.drain(..) {
                        if matches!(message, ControlMessage::Stop) {
                            return;
                        }
                        submitted |= self.handle(message);
                    }
                    if submitted {
                        self.run_placement(self.clock.now());
                    }
                }
            }
        }
    }

    /// Handles one message. Returns whether the placement should decide immediately.
    fn handle(&mut self, message: ControlMessage) -> bool {
        let now = self.clock.now();
        match message {
            ControlMessage::PlaceGeneration(ask, reply) => {
                let _ = reply.send(self.place_generation(ask));
                return true;
            }
            ControlMessage::PlaceCall(ask, reply) => {
                let _ = reply.send(self.place_call(ask));
                return true;
            }
            ControlMessage::Progress(progress) => {
                if let Some(tracked) = self.running.get_mut(&progress.ticket) {
                    tracked.progress_at = Some(self.clock.wall());
                }
                self.placement.progress(now, progress);
            }
            ControlMessage::Attempt(ticket, report) => {
                self.end_attempt(ticket, report);
                return true;
            }
            ControlMessage::LoadPolled(poll) => {
                let server = poll.server.clone();
                self.apply_load_poll(poll, now);
                if self.unpolled.remove(&server) {
                    self.publish_prepared();
                }
            }
            ControlMessage::InstanceChanged(server) => {
                self.placement.instance_changed(now, &server);
            }
            ControlMessage::Order(ended) => self.orders.ended(ended, now),
            ControlMessage::Tail(event) => self.handle_tail_event(event),
            ControlMessage::Append(ended) => {
                self.appends.ended(ended, now);
                self.appends.poll(now, self.clock.wall());
            }
            ControlMessage::Peer(event) => self.handle_peer_event(event),
            ControlMessage::VmList(entries) => self.peers.set_vm_list(&entries),
            ControlMessage::Call(message) => {
                let step = self.step_context();
                self.calls.handle(message, &mut self.appends, step);
            }
            ControlMessage::Job(message) => {
                let step = self.step_context();
                self.jobs.handle(message, &mut self.appends, step);
            }
            ControlMessage::Admin(message) => self.handle_admin(message),
            ControlMessage::Burn(events) => {
                let wall = self.clock.wall();
                for event in &events {
                    self.burn.record(wall, event);
                }
            }
            ControlMessage::Drain => self.begin_draining(),
            ControlMessage::StopLimit(reply) => {
                self.begin_draining();
                self.placement.scheduler_mut().close_queues();
                self.run_placement(now);
                let _ = reply.send(());
            }
            // Handled by the loop.
            ControlMessage::Stop => {}
            ControlMessage::IsIdle(reply) => {
                let _ = reply.send(self.calls.is_idle() && self.appends.is_idle());
            }
        }
        false
    }

    fn begin_draining(&mut self) {
        self.placement.scheduler_mut().set_draining(true);
        self.peers.set_draining();
        self.jobs.set_draining();
    }

    /// Publishes that the VM is prepared to serve. Without load reports no request can be placed,
    /// so the VM waits for them before it reports ready to the load balancer.
    fn publish_prepared(&self) {
        let prepared = self.unpolled.is_empty() && self.plan.revision() > PlanRevision(0);
        if prepared && !*self.prepared.borrow() {
            self.prepared.send_replace(true);
        }
    }

    fn step_context(&self) -> StepContext {
        StepContext {
            now: self.clock.now(),
            wall: self.clock.wall(),
            log_lost_at: self.log_lost_at,
        }
    }

    fn handle_tail_event(&mut self, event: TailEvent) {
        let now = self.clock.now();
        match event {
            TailEvent::Batch(topic, batch) => {
                self.log_lost_at = None;
                self.metrics.log_reachable.set(1);
                let batch = DecodedBatch::decode(topic, batch);
                self.appends.observe(&batch, now);
                self.apply_batch(&batch);
            }
            TailEvent::Truncated(LogTopic::Plan, first_available) => {
                self.plan.skip(first_available);
            }
            TailEvent::Truncated(LogTopic::Calls, first_available) => {
                self.calls.skip(first_available, self.clock.wall());
            }
            TailEvent::Truncated(LogTopic::Jobs, first_available) => {
                self.jobs.skip(first_available, self.step_context());
            }
            // Ends of moves are also part of the gossip state.
            TailEvent::Truncated(LogTopic::Moves, _) => {}
            TailEvent::Unreachable => {
                self.log_lost_at.get_or_insert(now);
                self.metrics.log_reachable.set(0);
            }
        }
    }

    fn apply_batch(&mut self, batch: &DecodedBatch) {
        match batch.topic {
            LogTopic::Plan => {
                if batch.read_to() >= batch.end {
                    self.plan_read_at = Some(self.clock.now());
                }
                if self.plan.apply(batch) {
                    self.plan_changed();
                }
                self.submissions.advance(&self.plan, self.clock.now());
            }
            LogTopic::Calls => {
                self.calls.apply(batch, self.clock.wall());
                let step = self.step_context();
                self.calls.advance(&mut self.appends, step);
            }
            LogTopic::Moves => self.apply_ends(batch),
            LogTopic::Jobs => self.jobs.apply(batch, self.step_context()),
        }
    }

    fn apply_ends(&mut self, batch: &DecodedBatch) {
        for (_, append) in &batch.appends {
            for entry in &append.entries {
                let Some(RecordKind::MoveEnd(end)) = &entry.kind else {
                    continue;
                };
                self.peers.apply_end(end, self.plan.revision());
            }
        }
    }

    fn plan_changed(&mut self) {
        let plan = self.plan.plan();
        self.versions.set_plan(&plan, self.clock.wall());
        self.apply_zones();
        self.order_engines();
        if !self.had_plan {
            // Reports from before the first plan show no version that may get requests, so wait
            // for new ones.
            self.had_plan = true;
            self.unpolled = self.placement.servers().keys().cloned().collect();
        }
        let revision = self.plan.revision();
        self.metrics.plan_revision.set(revision.0 as i64);
        self.publish_prepared();
        // Peers that can't reach the log service learn of the plan from this heartbeat.
        let log_reachable = self.log_lost_at.is_none();
        self.peers.send_heartbeat(revision, log_reachable, self.clock.now());
    }

    /// Applies the zone states of the plan, and the overrides of zones that were taken out of
    /// service while the log service was unreachable.
    fn apply_zones(&mut self) {
        let now = self.clock.now();
        let plan = self.plan.plan();
        for (zone, settings) in &plan.zones {
            let overridden = self.peers.zone_is_out(zone, self.plan.state());
            let open = plan.zone_is_in(zone) && !overridden;
            self.placement.scheduler_mut().set_zone(now, zone, open, settings.concurrency_limit);
        }
    }

    fn handle_peer_event(&mut self, event: PeerEvent) {
        let now = self.clock.now();
        let PeerEvent { identity, kind, reply } = event;
        self.peers.mark_seen(&identity, now);
        if identity.zone == self.config.vm.zone && identity.ordinal == self.config.vm.ordinal {
            self.placement.scheduler_mut().observe_incarnation(identity.incarnation);
        }
        match kind {
            PeerKind::Heartbeat(heartbeat) => {
                let revision = self.plan.revision();
                self.peers.apply_heartbeat(&identity, &heartbeat, revision, &reply, now);
            }
            PeerKind::PlanFetch(_) => self.peers.send_plan(self.plan.copy(), &reply),
            PeerKind::PlanCopy(copy) => {
                if self.plan.adopt(&copy) {
                    self.plan_changed();
                }
            }
            PeerKind::GossipUpdate(gossip) => {
                if self.peers.merge_gossip(&gossip) {
                    self.apply_zones();
                }
            }
            PeerKind::Evidence(evidence) => self.versions.merge(&evidence),
            PeerKind::Suspects(report) => self.crashes.merge(&report),
            PeerKind::Hello(_) => {}
        }
    }

    fn run_periodic_tasks(&mut self) {
        let now = self.clock.now();
        let wall = self.clock.wall();
        self.count_unanswered(wall);
        let gossip = self.peers.gossip();
        let endings = self.versions.tick(wall, |move_id| {
            (gossip.move_state(move_id), gossip.move_reason(move_id).to_owned())
        });
        for ending in endings {
            self.end_move(ending);
        }
        if let Some(evidence) = self.versions.evidence(wall) {
            self.peers.send_evidence(evidence);
        }
        let log_reachable = self.log_lost_at.is_none();
        self.peers.tick(self.plan.revision(), log_reachable, now);
        self.send_suspects(now);
        let step = self.step_context();
        self.calls.tick(&mut self.appends, step);
        self.calls.advance(&mut self.appends, step);
        let mut alive = vec![self.identity.incarnation];
        alive.extend(self.peers.alive().iter().map(|member| member.incarnation));
        self.jobs.tick(&alive, &mut self.appends, step);
        self.order_engines();
        self.submissions.advance(&self.plan, now);
        self.renew_snapshot();
        self.update_gauges();
    }

    /// Tells the peers of prompts that crash engines, at each change and at intervals.
    fn send_suspects(&mut self, now: MonoTime) {
        let alive = self.peers.alive();
        self.crashes.refresh(alive.iter().map(|member| member.incarnation).collect());
        let is_due = now.since(self.suspects_sent_at) >= SUSPECT_INTERVAL;
        if let Some(report) = self.crashes.report(is_due) {
            self.suspects_sent_at = now;
            self.peers.send_suspects(report);
        }
    }

    /// Gossips the end of a move and appends it to the log. While the log service is down, the
    /// record stays buffered, but the gossip reaches the peers immediately.
    fn end_move(&mut self, ending: MoveEnding) {
        let now = self.clock.now();
        let revision = self.plan.revision();
        self.peers.set_move_state(&ending.move_id, ending.state, revision, &ending.reason);
        let end = MoveEnd {
            move_id: ending.move_id.0,
            rolled_back: ending.state == MoveState::RolledBack,
            reason: ending.reason,
            ended_at_ms: self.clock.wall().as_unix_millis(),
        };
        if let Err(error) = self.appends.push(LogTopic::Moves, RecordKind::MoveEnd(end), now) {
            warn!("move: can't buffer record of the end; error={error}");
        }
    }

    fn order_engines(&mut self) {
        let plan = self.plan.plan();
        let zone = self.identity.zone.as_str();
        let ordinals = self.peers.alive().into_iter().filter(|member| member.zone == zone);
        let inputs = OrderInputs {
            now: self.clock.now(),
            wall: self.clock.wall(),
            revision: self.plan.revision(),
            plan: &plan,
            moves: self.versions.states(),
            routed_versions: self.versions.routed_versions(),
            live_ordinals: ordinals.map(|member| member.ordinal).collect(),
            log_read_at: self.plan_read_at,
        };
        self.orders.send_due_orders(&inputs);
    }

    fn renew_snapshot(&mut self) {
        let now = self.clock.now();
        if self.snapshot_at.is_some_and(|at| now.since(at) < SNAPSHOT_RETRY) {
            return;
        }
        let Some(snapshot) = self.plan.due_snapshot(self.clock.wall()) else {
            return;
        };
        self.snapshot_at = Some(now);
        let kind = RecordKind::PlanSnapshot(snapshot);
        if let Err(error) = self.appends.push(LogTopic::Plan, kind, now) {
            warn!("plan: can't buffer snapshot; error={error}");
        }
    }

    fn update_gauges(&self) {
        self.metrics.queued.set(self.placement.scheduler().waiting() as i64);
        self.metrics.peers_alive.set(self.peers.alive().len() as i64);
    }
}
