//! A VM's view of the fleet. Requests are placed on servers in `choice` and `placing`.

mod admission_room;
mod choice;
mod explained_choice;
mod learned_capacity;
mod placing;
mod lost_servers;
mod peer_loads;
mod placement_scope;
mod run_results;
mod server_choice;
mod server_comparison;
mod server_places;
mod zone_demands;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dragonflycart_capacity::CapacityTable;
use dragonflycart_core::{MonoTime, PromptPart};
use slotmap::{SecondaryMap, SlotMap};

pub(crate) use self::peer_loads::PeerLoads;
use self::server_places::ServerPlaces;
use crate::{
    EngineSpec, FleetOrder, GenerationTiming, OldServers, RetryBudget, RetryLimit, RouteBaselines,
    RoutePlan, RunKey, ServerKey, ServerLoad, ServerRecord, ServerState, StorePosition,
    SurveyedEngine, TokenDemand, VersionMove, VersionMovePhase, VersionMoveRecord, VersionMoveSpec,
    VersionRole, VmSettings, ZoneReachability, versions::OpenRun,
};

/// Time in which a registration that disappeared after a store outage may reappear.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_800);
/// Time after a store failure in which the removal of a registration may mean only that the server
/// could not renew it.
const OUTAGE_WINDOW: Duration = Duration::from_millis(3_000);
/// Number of VMs among which the limits of the whole fleet are divided until the VMs are known.
const UNKNOWN_FLEET_VMS: usize = 16;

/// State on which a VM bases its decisions. It does no I/O and reads no clock.
#[derive(Debug)]
pub struct FleetView {
    settings: Arc<VmSettings>,
    plan: Option<Arc<RoutePlan>>,
    /// Time at which the first plan was known.
    planned_since: Option<MonoTime>,
    servers: SlotMap<ServerKey, ServerState>,
    /// Service and nearness of each server, updated with its registration.
    places: ServerPlaces,
    by_id: BTreeMap<String, ServerKey>,
    evacuated: BTreeMap<String, MonoTime>,
    retry_budgets: BTreeMap<String, RetryBudget>,
    timings: BTreeMap<String, GenerationTiming>,
    version_moves: BTreeMap<String, VersionMove>,
    /// Latest status of each service's version move in the store.
    move_statuses: BTreeMap<String, VersionMoveRecord>,
    prefixes: SecondaryMap<ServerKey, BTreeMap<PromptPart, MonoTime>>,
    /// Learned capacity of the servers of each service.
    capacities: BTreeMap<String, CapacityTable<ServerKey>>,
    baselines: RouteBaselines,
    runs: SlotMap<RunKey, OpenRun>,
    /// Number of running VMs known, including this one.
    pub vm_count: usize,
    /// Number of VMs among which the limits of the whole fleet are divided, including this one. VMs
    /// that are cut off from this one count, too, since they go on to use their shares.
    pub sharing_vms: usize,
    /// Number of VMs before this one by name, among those that share the limits.
    pub own_rank: usize,
    store_failed_at: Option<MonoTime>,
    /// Era of the store in which orders may still be about to be written again.
    unsettled_era: Option<u64>,
    servers_known: bool,
    zone_reachability: ZoneReachability,
}

impl FleetView {
    /// Builds an empty view.
    pub fn new(settings: Arc<VmSettings>) -> FleetView {
        FleetView {
            settings,
            plan: None,
            planned_since: None,
            servers: SlotMap::with_key(),
            places: ServerPlaces::default(),
            by_id: BTreeMap::new(),
            evacuated: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            timings: BTreeMap::new(),
            version_moves: BTreeMap::new(),
            move_statuses: BTreeMap::new(),
            prefixes: SecondaryMap::new(),
            capacities: BTreeMap::new(),
            baselines: RouteBaselines::default(),
            runs: SlotMap::with_key(),
            vm_count: 1,
            sharing_vms: UNKNOWN_FLEET_VMS,
            own_rank: 0,
            store_failed_at: None,
            unsettled_era: None,
            servers_known: false,
            zone_reachability: ZoneReachability::default(),
        }
    }

    /// Returns the route plan in effect.
    pub fn plan(&self) -> Option<&Arc<RoutePlan>> {
        self.plan.as_ref()
    }

    /// Returns whether requests can be served: the route plan and the servers are known.
    pub fn is_complete(&self) -> bool {
        self.plan.is_some() && self.servers_known
    }

    /// Returns the specification of a service's engines, or `None` for a plain service.
    pub fn engine_spec(&self, service: &str) -> Option<EngineSpec> {
        self.plan.as_ref()?.services.get(service)?.engine
    }

    /// Returns the state of a server.
    pub fn server(&self, key: ServerKey) -> Option<&ServerState> {
        self.servers.get(key)
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &ServerState)> {
        self.servers.iter()
    }

    /// Applies an order of the operators. Returns whether it changed anything.
    pub fn apply_order(&mut self, order: FleetOrder, now: MonoTime) -> bool {
        match order {
            FleetOrder::Plan(plan) => {
                if self.plan.as_ref().is_some_and(|current| current.version >= plan.version) {
                    return false;
                }
                self.baselines.retain(|route| plan.has_route(route));
                self.plan = Some(plan);
                self.planned_since.get_or_insert(now);
                true
            }
            FleetOrder::EvacuateZone { zone } => self.evacuated.insert(zone, now).is_none(),
            FleetOrder::MoveVersion(_) => false,
        }
    }

    /// Starts the version move ordered by the record at `position`. Returns false if it is already
    /// known. Until the operators had the time to write again what a store lost that came back from
    /// an older copy, the same order at a later position is that version move, and another order may
    /// be an older one than that.
    pub fn start_version_move(
        &mut self,
        order: VersionMoveSpec,
        position: StorePosition,
        now: MonoTime,
        now_ms: u64,
    ) -> bool {
        if let Some(known) = self.version_moves.get_mut(&order.service) {
            let known_position = known.order_position();
            if known_position >= position {
                return false;
            }
            let is_unsettled = self.unsettled_era == Some(position.era);
            if *known.order() == order && (is_unsettled || known_position.era < position.era) {
                known.note_written_again(position);
                if let Some(status) = self.move_statuses.get(&order.service) {
                    known.note_status(status, now, now_ms);
                }
                return false;
            }
            if is_unsettled && known_position.era < position.era {
                return false;
            }
        }
        let service = order.service.clone();
        let plan = self.plan.as_ref();
        let uses = |route: &str| plan.is_some_and(|plan| plan.route_uses(route, &service));
        let usual = self.baselines.usual_of(uses);
        let mut version_move = VersionMove::new(order, position, now, now_ms).with_usual(usual);
        // The status may have been read before the order.
        if let Some(status) = self.move_statuses.get(&service) {
            version_move.note_status(status, now, now_ms);
        }
        self.version_moves.insert(service, version_move);
        true
    }

    /// Returns the services with a version move that has no final status in the store, or whose status
    /// it lost.
    pub fn services_with_open_move(&self) -> Vec<String> {
        self.open_version_moves().map(|open| open.order().service.clone()).collect()
    }

    /// Returns the version moves that have no final status in the store, or whose status it lost.
    pub fn open_version_moves(&self) -> impl Iterator<Item = &VersionMove> {
        self.version_moves.values().filter(|version_move| !version_move.is_recorded())
    }

    /// Returns the latest version move of a service.
    pub fn version_move(&self, service: &str) -> Option<&VersionMove> {
        self.version_moves.get(service)
    }

    /// Returns a service's version move, if it was ordered at `position`.
    pub fn version_move_mut(
        &mut self,
        service: &str,
        position: StorePosition,
    ) -> Option<&mut VersionMove> {
        self.version_moves
            .get_mut(service)
            .filter(|version_move| version_move.order_position() == position)
    }

    /// Applies a version move status from the store. Returns whether the phase changed.
    pub fn note_version_move_status(
        &mut self,
        status: &VersionMoveRecord,
        now: MonoTime,
        now_ms: u64,
    ) -> bool {
        self.move_statuses.insert(status.service.clone(), status.clone());
        let version_move = self.version_moves.get_mut(&status.service);
        version_move.is_some_and(|version_move| version_move.note_status(status, now, now_ms))
    }

    /// Records that the statuses of version moves were read.
    pub fn note_statuses_read(&mut self) {
        for version_move in self.version_moves.values_mut() {
            version_move.note_statuses_read();
        }
    }

    /// Rolls a service's version move back if its results show that the new version is bad. Returns
    /// the phase if it changed.
    pub fn roll_back_if_bad(&mut self, service: &str, now: MonoTime) -> Option<VersionMovePhase> {
        let version_move = self.version_moves.get_mut(service)?;
        version_move.roll_back_if_bad(now).then(|| version_move.phase())
    }

    /// Lets running requests leave the old version of a service if it is time. Returns whether this
    /// changed.
    pub fn release_old_version(&mut self, service: &str, now: MonoTime) -> bool {
        let version_move = self.version_moves.get_mut(service);
        version_move.is_some_and(|version_move| version_move.release_old(now))
    }

    /// Advances a service's version move if its results allow or require it. Returns the phase if
    /// it changed.
    pub fn decide_version_move(
        &mut self,
        service: &str,
        now: MonoTime,
    ) -> Option<VersionMovePhase> {
        let version_move = self.version_moves.get(service)?;
        let mut old_servers = OldServers::Gone;
        for state in self.servers.values() {
            if state.record.service != service
                || version_move.role_of(&state.record.version) == VersionRole::New
            {
                continue;
            }
            if state.total_load(now).requests > 0 {
                old_servers = OldServers::Busy;
                break;
            }
            if state.leaving_since.is_none() {
                old_servers = OldServers::Idle;
            }
        }
        let version_move = self.version_moves.get_mut(service)?;
        version_move.decide(old_servers, now).then(|| version_move.phase())
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains_key(zone)
    }

    /// Ends the evacuation of a zone. Returns whether the zone was evacuated.
    pub fn end_evacuation(&mut self, zone: &str) -> bool {
        self.evacuated.remove(zone).is_some()
    }

    /// Records that a call to the store failed.
    pub fn note_store_failure(&mut self, now: MonoTime) {
        self.store_failed_at = Some(now);
    }

    /// Records the era of the store in which orders may still be about to be written again, or that
    /// they are not.
    pub fn note_unsettled_era(&mut self, era: Option<u64>) {
        self.unsettled_era = era;
    }

    /// Records that the whole table of servers was read.
    pub fn note_servers_known(&mut self) {
        self.servers_known = true;
    }

    /// Applies a server's registration. Returns whether it may affect new requests or running
    /// generations.
    pub fn apply_server(
        &mut self,
        id: &str,
        record: ServerRecord,
        position: StorePosition,
        now: MonoTime,
    ) -> bool {
        if let Some(key) = self.by_id.get(id).copied() {
            let state = &mut self.servers[key];
            if position < state.position {
                return false;
            }
            let is_same = state.record.started_at_ms == record.started_at_ms
                && state.record.address == record.address
                && state.record.service == record.service;
            if is_same {
                let before = (state.record.is_draining, state.expired_at.is_some());
                self.places.set(key, &record, &self.settings.zone);
                state.update(record, position, now);
                return before != (state.record.is_draining, false);
            }
            state.mark_leaving(now);
        }
        let key = self.servers.insert(ServerState::new(id, record, position, now));
        self.places.set(key, &self.servers[key].record, &self.settings.zone);
        self.by_id.insert(id.to_owned(), key);
        true
    }

    /// Removes a server's registration. If the server may only have been unable to renew it during
    /// a store outage, the server counts as leaving only after a grace time. Returns whether the
    /// server counts as leaving from now on.
    pub fn remove_server(&mut self, id: &str, now: MonoTime) -> bool {
        let Some(key) = self.by_id.get(id).copied() else { return false };
        let state = &mut self.servers[key];
        state.is_registered = false;
        if state.leaving_since.is_some() {
            return false;
        }
        let may_have_expired =
            self.store_failed_at.is_some_and(|failed| now.since(failed) < OUTAGE_WINDOW);
        if may_have_expired {
            state.expired_at.get_or_insert(now);
            return false;
        }
        state.mark_leaving(now);
        true
    }

    /// Marks servers with expired registrations as leaving once their grace time is over, and
    /// removes servers that left and have no more requests. Returns whether a server was marked as
    /// leaving.
    pub fn expire_servers(&mut self, now: MonoTime) -> bool {
        let mut changed = false;
        let mut forgotten = Vec::new();
        for (key, state) in &mut self.servers {
            if state.expired_at.is_some_and(|at| now.since(at) > EXPIRY_GRACE)
                && state.leaving_since.is_none()
            {
                state.mark_leaving(now);
                changed = true;
            }
            let is_gone =
                state.leaving_since.is_some_and(|since| now.since(since) > Duration::from_secs(30));
            if is_gone && state.own_load.requests == 0 {
                forgotten.push(key);
            }
        }
        for key in forgotten {
            self.forget_server(key);
        }
        changed
    }

    fn forget_server(&mut self, key: ServerKey) {
        self.prefixes.remove(key);
        self.places.remove(key);
        let Some(state) = self.servers.remove(key) else { return };
        if self.by_id.get(&state.id) == Some(&key) {
            self.by_id.remove(&state.id);
        }
        if let Some(table) = self.capacities.get_mut(&state.record.service) {
            table.forget(key);
        }
    }

    /// Records a peer's reported load on a server.
    pub fn note_peer_load(&mut self, peer: u64, id: &str, load: ServerLoad, now: MonoTime) {
        if let Some(key) = self.by_id.get(id).copied() {
            self.servers[key].note_peer_load(peer, load, now);
        }
    }

    /// Records how many of a server's responses a peer recently lost.
    pub fn note_peer_losses(&mut self, peer: u64, id: &str, lost: u32, now: MonoTime) {
        if let Some(key) = self.by_id.get(id).copied() {
            self.servers[key].losses.note_peer(peer, lost, now);
        }
    }

    /// Clears a peer's load on all servers other than `named`.
    pub fn clear_peer_loads(&mut self, peer: u64, named: &BTreeSet<&str>) {
        for state in self.servers.values_mut() {
            if !named.contains(state.id.as_str()) {
                state.clear_peer_load(peer);
            }
        }
    }

    /// Records that a server is leaving, according to a peer or to the server itself.
    /// `is_announced` is whether the server announced its shutdown itself. Returns whether it was
    /// not known to be leaving.
    pub fn note_leaving(
        &mut self,
        id: &str,
        started_at_ms: Option<u64>,
        is_announced: bool,
        now: MonoTime,
    ) -> bool {
        let Some(key) = self.by_id.get(id).copied() else { return false };
        let state = &mut self.servers[key];
        if state.record.started_at_ms != started_at_ms {
            return false;
        }
        state.has_drained |= is_announced;
        let is_outdated = !is_announced && state.has_just_recovered(now);
        if state.leaving_since.is_some() || is_outdated {
            return false;
        }
        state.mark_leaving(now);
        true
    }

    /// Records that a server announced its shutdown in a response. Returns whether it was not known
    /// to be leaving.
    pub fn note_announced_leaving(&mut self, key: ServerKey, now: MonoTime) -> bool {
        let Some(state) = self.servers.get_mut(key) else { return false };
        state.has_drained = true;
        let is_new = state.leaving_since.is_none();
        state.mark_leaving(now);
        is_new
    }

    /// Records that connecting to a server failed.
    pub fn note_unreachable(&mut self, key: ServerKey, now: MonoTime) {
        let Some(state) = self.servers.get_mut(key) else { return };
        state.note_unreachable(now);
        self.zone_reachability.note_unreachable(&state.record.zone, key, now);
    }

    /// Records that a server responded.
    pub fn note_reached(&mut self, key: ServerKey) {
        let Some(state) = self.servers.get_mut(key) else { return };
        state.note_reached();
        self.zone_reachability.note_reached(&state.record.zone);
    }

    /// Records that another server responds at a server's address.
    pub fn note_replaced(&mut self, key: ServerKey, now: MonoTime) {
        if let Some(state) = self.servers.get_mut(key) {
            state.mark_leaving(now);
        }
    }

    /// Returns the servers that are marked as leaving but may have recovered.
    pub fn recovery_candidates(&self, now: MonoTime) -> Vec<ServerKey> {
        let returned =
            self.by_id.values().filter(|key| self.servers[**key].may_have_recovered(now));
        returned.copied().collect()
    }

    /// Returns the engines that this VM uses and that are not known to be leaving. Only generations
    /// that can be moved depend on a notice.
    pub fn engines_in_use(&self, now: MonoTime) -> Vec<SurveyedEngine> {
        let mut engines = Vec::new();
        for (key, state) in &self.servers {
            let can_move =
                self.engine_spec(&state.record.service).is_some_and(|engine| engine.can_move);
            if !can_move || state.leaving_since.is_some() || state.own_load.requests == 0 {
                continue;
            }
            engines.push(SurveyedEngine {
                key,
                id: state.id.clone(),
                address: state.record.address,
                started_at_ms: state.record.started_at_ms,
                user_count: state.user_count(now),
            });
        }
        engines
    }

    /// Returns the service of a server.
    pub fn service_of(&self, key: ServerKey) -> Option<String> {
        self.servers.get(key).map(|state| state.record.service.clone())
    }

    /// Returns the mutable state of a server.
    pub fn server_mut(&mut self, key: ServerKey) -> Option<&mut ServerState> {
        self.servers.get_mut(key)
    }

    /// Returns how long a server has been known to be leaving.
    pub fn leaving_for(&self, key: ServerKey, now: MonoTime) -> Option<Duration> {
        self.servers.get(key)?.leaving_since.map(|since| now.since(since))
    }

    /// Returns whether the generations on a server should move to another one.
    pub fn is_leaving(&self, key: ServerKey) -> bool {
        self.servers
            .get(key)
            .is_none_or(|state| state.leaving_since.is_some() || self.is_outgoing(state))
    }

    /// Returns whether a server must get no more work, because it leaves or its zone is evacuated.
    pub fn is_closed(&self, key: ServerKey) -> bool {
        self.is_leaving(key)
            || self
                .servers
                .get(key)
                .is_some_and(|state| self.evacuated.contains_key(&state.record.zone))
    }

    /// Returns whether a server is cold and this VM has used its share of the requests that it
    /// tolerates.
    pub fn is_cold_limited(&self, key: ServerKey, now: MonoTime) -> bool {
        let Some(state) = self.servers.get(key) else { return false };
        let cold_rate = self.cold_rate(&state.record.service);
        cold_rate > 0.0 && state.is_cold(now) && !state.cold_limiter.allows(now)
    }

    /// Returns the mutable timing of a service's generations.
    pub fn timing_mut(&mut self, service: &str) -> &mut GenerationTiming {
        self.timings.entry(service.to_owned()).or_default()
    }

    /// Returns whether a generation that arrives now is expected to end within `time`. True if
    /// nothing is known about the service's generations yet.
    pub fn ends_within(&self, service: &str, demand: TokenDemand, time: Duration) -> bool {
        let timing = self.timings.get(service);
        let expected = timing.and_then(|timing| timing.expected_time(demand));
        expected.is_none_or(|expected| expected <= time)
    }

    /// Returns whether a server must get no request that was reserved for it before: it asked for a
    /// pause since, or its version was rolled back.
    pub fn is_withdrawn(&self, key: ServerKey, now: MonoTime) -> bool {
        let Some(state) = self.servers.get(key) else { return false };
        if state.declines_requests(now) {
            return true;
        }
        let version_move = self.version_moves.get(&state.record.service);
        version_move.is_some_and(|version_move| {
            version_move.phase() == VersionMovePhase::RolledBack
                && version_move.role_of(&state.record.version) == VersionRole::New
        })
    }

    /// Returns whether a server runs the version that its service's version move takes out of use.
    fn is_outgoing(&self, state: &ServerState) -> bool {
        let version_move = self.version_moves.get(&state.record.service);
        version_move.is_some_and(|version_move| {
            version_move.is_outgoing(version_move.role_of(&state.record.version))
        })
    }

    /// Counts a caller's request for the retry budget of its service.
    pub fn note_request(&mut self, service: &str, now: MonoTime) {
        self.retry_budget(service, now).note_request(now);
    }

    /// Returns the expected time until a service's budget allows a retry, or `None` if it never
    /// does.
    pub fn time_to_retry(&mut self, service: &str, now: MonoTime) -> Option<Duration> {
        let limit = self.retry_limit();
        self.retry_budget(service, now).time_to_retry(limit, now)
    }

    /// Takes one retry from a service's budget. Returns false if the budget is exhausted.
    pub fn take_retry(&mut self, service: &str, now: MonoTime) -> bool {
        let limit = self.retry_limit();
        self.retry_budget(service, now).take_retry(limit, now)
    }

    /// Takes the resumption of a generation on another server from the budget of its service.
    /// Returns false if the deployment's limit on retries is reached.
    pub fn take_resumption(&mut self, service: &str, now: MonoTime) -> bool {
        let limit = self.retry_limit();
        self.retry_budget(service, now).take_resumption(limit, now)
    }

    /// Counts the resumption of a generation that the budget of its service can't deny.
    pub fn note_resumption(&mut self, service: &str, now: MonoTime) {
        let limit = self.retry_limit();
        self.retry_budget(service, now).note_resumption(limit, now);
    }

    fn retry_limit(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.settings.retry_ratio,
            allowance: self.settings.retry_allowance / self.sharing_vms.max(1) as f64,
        }
    }

    fn retry_budget(&mut self, service: &str, now: MonoTime) -> &mut RetryBudget {
        let window = self.settings.retry_window;
        let budgets = self.retry_budgets.entry(service.to_owned());
        let since = self.planned_since.unwrap_or(now);
        budgets.or_insert_with(|| RetryBudget::new(window, since))
    }

    /// Returns the requests per second that this VM may send to each cold server of a service; zero
    /// means no limit.
    fn cold_rate(&self, service: &str) -> f64 {
        let rate = self
            .plan
            .as_ref()
            .and_then(|plan| plan.services.get(service))
            .map_or(0.0, |service| service.cold_rate);
        rate / self.sharing_vms.max(1) as f64
    }
}
