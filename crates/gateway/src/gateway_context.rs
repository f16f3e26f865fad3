//! State shared by all tasks of the gateway.

use std::{
    sync::{Arc, Mutex, MutexGuard, OnceLock},
    time::Duration,
};

use dragonflycart_containment::CrashLedger;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{
    BodyBudget, CallDispatcher, ConnectionPool, DutyPlatform, EngineAdmission, EngineProtocol,
    FleetStore, FleetTables, FleetView, GatewayClock, GatewayMetrics, HeaderNames, OpenStreams,
    PeerTable, PlanFreshness, ResponseMemory, StopPhase, VmDuties, VmLoad, VmSettings,
    moves::OpenStops,
};

/// Shared state and services of the gateway's tasks.
pub struct GatewayContext {
    /// Settings of the VM.
    pub settings: Arc<VmSettings>,
    /// Header names.
    pub names: HeaderNames,
    /// The store.
    pub store: Arc<dyn FleetStore>,
    /// Encoding of calls to engines.
    pub engine_protocol: Arc<dyn EngineProtocol>,
    /// Memory budget for request bodies.
    pub bodies: BodyBudget,
    /// Memory budgets for responses.
    pub responses: ResponseMemory,
    /// Plain calls that wait for a slot.
    pub plain_calls: CallDispatcher,
    /// Idle connections to servers.
    pub pool: Arc<ConnectionPool>,
    /// Clock.
    pub clock: GatewayClock,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Random ID of this process, which changes with each start.
    pub boot: u64,
    /// Admission of requests to engines.
    pub admission: EngineAdmission,
    /// Local copies of the store's tables.
    pub tables: FleetTables,
    view: Mutex<FleetView>,
    peers: Mutex<PeerTable>,
    freshness: Mutex<PlanFreshness>,
    vm_load: Mutex<VmLoad>,
    crashes: Mutex<CrashLedger>,
    /// Calls that one VM makes for the fleet, if the deployment has any.
    pub duties: Option<Arc<VmDuties>>,
    /// Makes the exchange of evidence about prompts send a report at once.
    pub evidence_changes: Notify,
    /// Makes the peer exchange send a report at once, after a change of load.
    pub load_changes: Notify,
    /// Highest era of the store in which this VM found that the store has lost records.
    pub store_era: watch::Sender<u64>,
    /// Counter of changes that may affect running requests.
    pub changes: watch::Sender<u64>,
    /// Progress of a planned stop.
    pub stop: watch::Sender<StopPhase>,
    /// Streams that are relayed to callers.
    pub streams: OpenStreams,
    /// Stops of generations that engines are still told.
    pub stops: OpenStops,
    stop_began: OnceLock<Instant>,
    stop_deadline: OnceLock<Instant>,
}

/// Time before a planned stop abandons open requests at which they are answered if nothing else has
/// answered them by then.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);

impl GatewayContext {
    /// Builds a context with empty state.
    pub fn new(
        settings: Arc<VmSettings>,
        names: HeaderNames,
        store: Arc<dyn FleetStore>,
        engine_protocol: Arc<dyn EngineProtocol>,
    ) -> GatewayContext {
        GatewayContext {
            tables: FleetTables::default(),
            view: Mutex::new(FleetView::new(Arc::clone(&settings))),
            peers: Mutex::new(PeerTable::new(&settings.name, &settings.zone)),
            freshness: Mutex::new(PlanFreshness::new(settings.revocation_time)),
            admission: EngineAdmission::default(),
            vm_load: Mutex::new(VmLoad::new(settings.memory_bytes, settings.cpu_share)),
            crashes: Mutex::default(),
            duties: None,
            evidence_changes: Notify::new(),
            load_changes: Notify::new(),
            bodies: BodyBudget::new(settings.memory_bytes),
            responses: ResponseMemory::new(settings.memory_bytes),
            plain_calls: CallDispatcher::default(),
            settings,
            names,
            store,
            engine_protocol,
            pool: Arc::default(),
            clock: GatewayClock::start(),
            metrics: GatewayMetrics::new(),
            boot: rand::random(),
            store_era: watch::Sender::new(0),
            changes: watch::Sender::new(0),
            stop: watch::Sender::new(StopPhase::Serving),
            streams: OpenStreams::default(),
            stops: OpenStops::default(),
            stop_began: OnceLock::new(),
            stop_deadline: OnceLock::new(),
        }
    }

    /// Adds the calls to the platform that one VM makes for the fleet, if the settings have any.
    pub fn with_duties(mut self, platform: Arc<dyn DutyPlatform>) -> GatewayContext {
        if let Some(cloud) = self.settings.cloud.clone() {
            let duties = VmDuties::new(platform, cloud, &self.settings, self.boot, &self.clock);
            self.duties = Some(Arc::new(duties));
        }
        self
    }

    /// Locks the view. Hold the lock for a single decision only, never across an await.
    pub fn view(&self) -> MutexGuard<'_, FleetView> {
        self.view.lock().expect("no decision panics while it holds the view")
    }

    /// Locks the table of the other VMs. Hold the lock for a single decision only.
    pub fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().expect("no holder of the peers' lock panics")
    }

    /// Locks the knowledge of the plan's age. Hold the lock for a single decision only.
    pub fn freshness(&self) -> MutexGuard<'_, PlanFreshness> {
        self.freshness.lock().expect("no holder of the freshness lock panics")
    }

    /// Locks the load of this VM. Hold the lock for a single decision only.
    pub fn vm_load(&self) -> MutexGuard<'_, VmLoad> {
        self.vm_load.lock().expect("no holder of the load's lock panics")
    }

    /// Locks the ledger of crashes. Hold the lock for a single decision only.
    pub fn crashes(&self) -> MutexGuard<'_, CrashLedger> {
        self.crashes.lock().expect("no holder of the ledger's lock panics")
    }

    /// Counts a request of a team that began to run, for the usage reports.
    pub(crate) fn count_use(&self, team: Option<&str>) {
        if let (Some(duties), Some(team)) = (&self.duties, team) {
            duties.count_start(team);
        }
    }

    /// Returns whether generations of a service can be moved between its engines.
    pub fn can_move(&self, service: &str) -> bool {
        self.view().engine_spec(service).is_some_and(|engine| engine.can_move)
    }

    /// Returns whether engines of a service can keep backup copies of running generations.
    pub fn can_back_up(&self, service: &str) -> bool {
        self.view().engine_spec(service).is_some_and(|engine| engine.can_back_up)
    }

    /// Notifies running requests that the state of servers may have changed.
    pub fn announce_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Begins the planned stop. Requests still open at `deadline` are abandoned.
    pub fn begin_stop(&self, deadline: Instant) {
        self.stop_began.get_or_init(Instant::now);
        self.stop_deadline.get_or_init(|| deadline);
        self.stop.send_replace(StopPhase::Leaving);
    }

    /// Returns the time at which a planned stop began, or `None` if none has.
    pub fn stop_began(&self) -> Option<Instant> {
        self.stop_began.get().copied()
    }

    /// Returns the time until a planned stop abandons open requests, or `None` if none has begun.
    pub fn time_to_stop(&self) -> Option<Duration> {
        self.stop_deadline.get().map(|deadline| deadline.duration_since(Instant::now()))
    }

    /// Returns whether new requests are rejected because of a planned stop: a request that is sent to
    /// a server from now on may not end in time.
    pub fn rejects_requests(&self) -> bool {
        *self.stop.borrow() >= StopPhase::Ending
    }

    /// Waits for a planned stop, and then until open requests must be answered because the process
    /// is about to end.
    pub async fn last_answer_time(&self) {
        StopPhase::Leaving.reached(&mut self.stop.subscribe()).await;
        if let Some(deadline) = self.stop_deadline.get() {
            tokio::time::sleep_until(*deadline - LAST_ANSWER_MARGIN).await;
        }
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stop.borrow() != StopPhase::Serving
    }
}
