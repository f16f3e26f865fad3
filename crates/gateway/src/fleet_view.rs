//! What a VM believes of the fleet, and where it sends work.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use dragonflycart_core::{ErrorKind, MonoTime};
use slotmap::SlotMap;

use crate::{
    EngineSpec, FleetOrder, GenerationTiming, Placement, PlacementQuery, RetryBudget, RoutePlan,
    ServerKey, ServerLoad, ServerRecord, ServerScore, ServerState, TokenDemand, VersionMove,
    VersionMovePhase, VersionMoveRecord, VersionMoveSide, VersionMoveSpec, VmSettings,
    ZoneReachability, server_score::copy_factor,
};

/// Time for which a registration that vanished after an outage of the store may come back.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_800);
/// Time after an outage of the store in which vanished registrations may be lapsed ones.
const OUTAGE_WINDOW: Duration = Duration::from_millis(3_000);
/// Part of an engine's memory that generations may fill, as reserved.
const RUN_FILL_LIMIT: f64 = 0.97;
/// Part that generations from engines that leave may fill.
const MOVE_FILL_LIMIT: f64 = 0.98;
/// Part of an engine's memory up to which copies of other engines' generations are taken; the
/// rest is left to generations.
const COPY_FILL_LIMIT: f64 = 0.20;
/// Shared parts that are remembered per server.
const PREFIXES_REMEMBERED: usize = 256;

/// State of a VM's decisions. It does no I/O and reads no clock.
#[derive(Debug)]
pub struct FleetView {
    settings: Arc<VmSettings>,
    plan: Option<Arc<RoutePlan>>,
    servers: SlotMap<ServerKey, ServerState>,
    by_id: BTreeMap<String, ServerKey>,
    evacuated: BTreeMap<String, MonoTime>,
    retry_budgets: BTreeMap<String, RetryBudget>,
    timings: BTreeMap<String, GenerationTiming>,
    version_moves: BTreeMap<String, VersionMove>,
    prefixes: BTreeMap<ServerKey, BTreeMap<u64, MonoTime>>,
    /// Number of VMs that are known to run, this one included.
    pub vm_count: usize,
    store_failed_at: Option<MonoTime>,
    servers_known: bool,
    zone_reachability: ZoneReachability,
}

impl FleetView {
    /// Builds the view of a VM that knows nothing.
    pub fn new(settings: Arc<VmSettings>) -> FleetView {
        FleetView {
            settings,
            plan: None,
            servers: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            evacuated: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            timings: BTreeMap::new(),
            version_moves: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            vm_count: 1,
            store_failed_at: None,
            servers_known: false,
            zone_reachability: ZoneReachability::default(),
        }
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> Option<&Arc<RoutePlan>> {
        self.plan.as_ref()
    }

    /// Returns whether requests can be served: a plan and the servers are known.
    pub fn is_complete(&self) -> bool {
        self.plan.is_some() && self.servers_known
    }

    /// Returns the engines of a service, or `None` for a plain service.
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

    /// Takes an order of the operators. Returns whether it changed anything.
    pub fn apply_order(&mut self, order: FleetOrder, now: MonoTime) -> bool {
        match order {
            FleetOrder::Plan(plan) => {
                if self.plan.as_ref().is_some_and(|current| current.version >= plan.version) {
                    return false;
                }
                self.plan = Some(plan);
                true
            }
            FleetOrder::EvacuateZone { zone } => self.evacuated.insert(zone, now).is_none(),
            FleetOrder::MoveVersion(_) => false,
        }
    }

    /// Takes an order to move a service to another version, which stands at offset `number`.
    /// Returns whether it is new.
    pub fn start_version_move(
        &mut self,
        order: VersionMoveSpec,
        order_offset: u64,
        now: MonoTime,
        now_ms: u64,
    ) -> bool {
        let known = self.version_moves.get(&order.service);
        if known.is_some_and(|known| known.order_offset() >= order_offset) {
            return false;
        }
        let service = order.service.clone();
        self.version_moves.insert(service, VersionMove::new(order, order_offset, now, now_ms));
        true
    }

    /// Returns the services whose move to another version has no final status in the store.
    pub fn services_with_open_move(&self) -> Vec<String> {
        self.open_version_moves().map(|open| open.order().service.clone()).collect()
    }

    /// Returns the moves to other versions that have no final status in the store.
    pub fn open_version_moves(&self) -> impl Iterator<Item = &VersionMove> {
        self.version_moves.values().filter(|version_move| !version_move.is_confirmed())
    }

    /// Returns the newest move of a service.
    pub fn version_move(&self, service: &str) -> Option<&VersionMove> {
        self.version_moves.get(service)
    }

    /// Returns a service's move by the order at offset `number`, for changes.
    pub fn version_move_mut(
        &mut self,
        service: &str,
        order_offset: u64,
    ) -> Option<&mut VersionMove> {
        self.version_moves
            .get_mut(service)
            .filter(|version_move| version_move.order_offset() == order_offset)
    }

    /// Takes a status from the store. Returns whether a phase changed.
    pub fn note_version_move_status(
        &mut self,
        status: &VersionMoveRecord,
        now: MonoTime,
        now_ms: u64,
    ) -> bool {
        let version_move = self.version_moves.get_mut(&status.service);
        version_move.is_some_and(|version_move| version_move.note_status(status, now, now_ms))
    }

    /// Takes that the statuses of moves were read.
    pub fn note_statuses_read(&mut self) {
        for version_move in self.version_moves.values_mut() {
            version_move.note_statuses_read();
        }
    }

    /// Decides on a service's move. Returns the phase if it changed.
    pub fn decide_version_move(
        &mut self,
        service: &str,
        now: MonoTime,
    ) -> Option<VersionMovePhase> {
        let version_move = self.version_moves.get(service)?;
        let is_old_idle = self.servers.values().all(|state| {
            state.record.service != service
                || version_move.side(&state.record.version) == VersionMoveSide::New
                || state.total_load(now).requests == 0
        });
        let version_move = self.version_moves.get_mut(service)?;
        version_move.decide(is_old_idle, now).then(|| version_move.phase())
    }

    /// Takes the result of a request that a server answered or lost.
    pub fn note_result(&mut self, key: ServerKey, route: &str, is_failure: bool, time: Duration) {
        let Some(state) = self.servers.get_mut(key) else { return };
        state.note_response(is_failure, time);
        if let Some(version_move) = self.version_moves.get_mut(&state.record.service) {
            let side = version_move.side(&state.record.version);
            version_move.note_result(route, side, is_failure, time);
        }
    }

    /// Takes that the evacuation of a zone ended.
    pub fn end_evacuation(&mut self, zone: &str) -> bool {
        self.evacuated.remove(zone).is_some()
    }

    /// Takes a failure of the store.
    pub fn note_store_failure(&mut self, now: MonoTime) {
        self.store_failed_at = Some(now);
    }

    /// Takes that the table of servers was read whole.
    pub fn note_servers_known(&mut self) {
        self.servers_known = true;
    }

    /// Takes a server's registration. Returns whether new work or running generations may be
    /// affected.
    pub fn apply_server(
        &mut self,
        id: &str,
        record: ServerRecord,
        offset: u64,
        now: MonoTime,
    ) -> bool {
        if let Some(key) = self.by_id.get(id).copied() {
            let state = &mut self.servers[key];
            if offset < state.offset {
                return false;
            }
            let is_same = state.record.started_at_ms == record.started_at_ms
                && state.record.address == record.address
                && state.record.service == record.service;
            if is_same {
                let before = (state.record.is_draining, state.expired_at.is_some());
                state.update(record, offset, now);
                return before != (state.record.is_draining, false);
            }
            state.leaving_since.get_or_insert(now);
        }
        let key = self.servers.insert(ServerState::new(id, record, offset, now));
        self.by_id.insert(id.to_owned(), key);
        true
    }

    /// Takes that a server's registration was removed. A registration that may only have lapsed
    /// while the store was away counts as gone after a grace time.
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
        state.leaving_since = Some(now);
        true
    }

    /// Counts lapsed servers as gone once their grace time is over, and forgets servers that left
    /// and have no work. Returns whether a server was given up.
    pub fn expire_servers(&mut self, now: MonoTime) -> bool {
        let mut changed = false;
        let mut forgotten = Vec::new();
        for (key, state) in &mut self.servers {
            if state.expired_at.is_some_and(|at| now.since(at) > EXPIRY_GRACE)
                && state.leaving_since.is_none()
            {
                state.leaving_since = Some(now);
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
        self.prefixes.remove(&key);
        if let Some(state) = self.servers.remove(key)
            && self.by_id.get(&state.id) == Some(&key)
        {
            self.by_id.remove(&state.id);
        }
    }

    /// Takes what a peer says of its load on a server.
    pub fn note_peer_load(&mut self, peer: u64, id: &str, load: ServerLoad, now: MonoTime) {
        if let Some(key) = self.by_id.get(id).copied() {
            self.servers[key].note_peer_load(peer, load, now);
        }
    }

    /// Takes how many responses of a server a peer lost lately.
    pub fn note_peer_losses(&mut self, peer: u64, id: &str, lost: u32, now: MonoTime) {
        if let Some(key) = self.by_id.get(id).copied() {
            self.servers[key].losses.note_peer(peer, lost, now);
        }
    }

    /// Takes that a peer has no load on servers other than `named`.
    pub fn clear_peer_loads(&mut self, peer: u64, named: &BTreeSet<&str>) {
        for state in self.servers.values_mut() {
            if !named.contains(state.id.as_str()) {
                state.clear_peer_load(peer);
            }
        }
    }

    /// Takes that a peer saw a server leave.
    pub fn note_leaving(&mut self, id: &str, started_at_ms: Option<u64>, now: MonoTime) -> bool {
        let Some(key) = self.by_id.get(id).copied() else { return false };
        let state = &mut self.servers[key];
        if state.record.started_at_ms != started_at_ms || state.leaving_since.is_some() {
            return false;
        }
        state.leaving_since = Some(now);
        true
    }

    /// Takes that a server could not be connected to.
    pub fn note_unreachable(&mut self, key: ServerKey, now: MonoTime) {
        let Some(state) = self.servers.get_mut(key) else { return };
        state.note_unreachable(now);
        self.zone_reachability.note_unreachable(&state.record.zone, key, now);
    }

    /// Takes that a server answered.
    pub fn note_reached(&mut self, key: ServerKey) {
        let Some(state) = self.servers.get_mut(key) else { return };
        state.note_reached();
        self.zone_reachability.note_reached(&state.record.zone);
    }

    /// Takes that another server answers at a server's address.
    pub fn note_replaced(&mut self, key: ServerKey, now: MonoTime) {
        if let Some(state) = self.servers.get_mut(key) {
            state.leaving_since.get_or_insert(now);
        }
    }

    /// Returns the servers that count as leaving and may be back.
    pub fn recovery_candidates(&self, now: MonoTime) -> Vec<ServerKey> {
        let returned =
            self.by_id.values().filter(|key| self.servers[**key].may_have_recovered(now));
        returned.copied().collect()
    }

    /// Returns the state of a server for changes.
    pub fn server_mut(&mut self, key: ServerKey) -> Option<&mut ServerState> {
        self.servers.get_mut(key)
    }

    /// Returns for how long a server has been known to leave.
    pub fn leaving_for(&self, key: ServerKey, now: MonoTime) -> Option<Duration> {
        self.servers.get(key)?.leaving_since.map(|since| now.since(since))
    }

    /// Returns whether the work on a server should go elsewhere.
    pub fn is_leaving(&self, key: ServerKey) -> bool {
        self.servers
            .get(key)
            .is_none_or(|state| state.leaving_since.is_some() || self.is_outgoing(state))
    }

    /// Returns the pace of a service's generations for changes.
    pub fn timing_mut(&mut self, service: &str) -> &mut GenerationTiming {
        self.timings.entry(service.to_owned()).or_default()
    }

    /// Returns whether a generation that arrives now is expected to end within `time`. One of
    /// which nothing is known is.
    pub fn ends_within(&self, service: &str, demand: TokenDemand, time: Duration) -> bool {
        let timing = self.timings.get(service);
        let expected = timing.and_then(|timing| timing.expected_time(demand));
        expected.is_none_or(|expected| expected <= time)
    }

    /// Returns whether a server is of the version that a move leaves.
    fn is_outgoing(&self, state: &ServerState) -> bool {
        let version_move = self.version_moves.get(&state.record.service);
        version_move.is_some_and(|version_move| {
            version_move.is_outgoing(version_move.side(&state.record.version))
        })
    }

    /// Counts a caller's request for a service.
    pub fn note_request(&mut self, service: &str, now: MonoTime) {
        self.retry_budget(service).note_request(now);
    }

    /// Counts a repeat that is sent whatever the budget says.
    pub fn note_retry(&mut self, service: &str, now: MonoTime) {
        self.retry_budget(service).note_retry(now);
    }

    /// Takes the permission for one repeat.
    pub fn take_retry(&mut self, service: &str, now: MonoTime) -> bool {
        let settings = Arc::clone(&self.settings);
        let vm_count = self.vm_count;
        self.retry_budget(service).take_retry(
            settings.retry_ratio,
            settings.retry_allowance,
            vm_count,
            now,
        )
    }

    fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        let window = self.settings.retry_window;
        self.retry_budgets.entry(service.to_owned()).or_insert_with(|| RetryBudget::new(window))
    }

    /// Chooses a server and reserves the load there.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NoBackend`] if no server takes work, and [`ErrorKind::Overloaded`] if
    /// none has room.
    pub fn place(
        &mut self,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Result<Placement, ErrorKind> {
        let limit = if query.preferred_zone.is_some() { MOVE_FILL_LIMIT } else { RUN_FILL_LIMIT };
        let fill_limit = self.engine_spec(query.service).map(|_| limit);
        let key = self.choose_for_version_move(query, fill_limit, now)?;
        if let Some(version_move) = self.version_moves.get_mut(query.service) {
            version_move.note_sent(version_move.side(&self.servers[key].record.version));
        }
        self.zone_reachability.note_tried(&self.servers[key].record.zone, now);
        Ok(self.reserve_work(key, query, now))
    }

    /// Chooses an engine that receives copies of a generation's memory, and reserves the memory
    /// there.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] if no engine has room to spare.
    pub fn place_copy(
        &mut self,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Result<Placement, ErrorKind> {
        let key = self.choose_for_version_move(query, Some(COPY_FILL_LIMIT), now)?;
        let tokens = query.demand.reserved_tokens();
        Ok(self.reserve(key, ServerLoad { copy_tokens: tokens, ..ServerLoad::default() }, now))
    }

    /// Chooses among the servers of one version while a move to another one is known.
    fn choose_for_version_move(
        &self,
        query: &PlacementQuery<'_>,
        fill_limit: Option<f64>,
        now: MonoTime,
    ) -> Result<ServerKey, ErrorKind> {
        let Some(version_move) = self.version_moves.get(query.service) else {
            return self.choose(query, None, fill_limit, now);
        };
        let side = version_move.next_side(self.settings.exposure, self.vm_count);
        let result = self.choose(query, Some(side), fill_limit, now);
        if result.is_ok() || version_move.phase().is_final() {
            return result;
        }
        match side {
            VersionMoveSide::New => self.choose(query, Some(VersionMoveSide::Old), fill_limit, now),
            // A VM that started after the move was completed may not know so yet.
            VersionMoveSide::Old if !self.has_servers_on(query.service, VersionMoveSide::Old) => {
                self.choose(query, Some(VersionMoveSide::New), fill_limit, now)
            }
            VersionMoveSide::Old => result,
        }
    }

    /// Returns whether a service has servers of a version that don't leave.
    fn has_servers_on(&self, service: &str, side: VersionMoveSide) -> bool {
        let Some(version_move) = self.version_moves.get(service) else { return false };
        self.servers.values().any(|state| {
            state.record.service == service
                && state.leaving_since.is_none()
                && version_move.side(&state.record.version) == side
        })
    }

    /// Returns the usable server with the lowest score whose memory is not filled beyond
    /// `fill_limit` by the request.
    fn choose(
        &self,
        query: &PlacementQuery<'_>,
        side: Option<VersionMoveSide>,
        fill_limit: Option<f64>,
        now: MonoTime,
    ) -> Result<ServerKey, ErrorKind> {
        let version_move = self.version_moves.get(query.service);
        let local_servers = self.local_servers(query.service, now);
        let mut best: Option<(f64, ServerKey)> = None;
        let mut is_full = false;
        let unreachable_zones = self.zone_reachability.unreachable_zones(now);
        for (key, state) in &self.servers {
            let is_other_side = match (version_move, side) {
                (Some(version_move), Some(side)) => {
                    version_move.side(&state.record.version) != side
                }
                _ => false,
            };
            if is_other_side
                || !self.is_usable(key, state, query, now)
                || unreachable_zones.contains(state.record.zone.as_str())
            {
                continue;
            }
            if fill_limit.is_some_and(|limit| self.fill_with(state, query, now) > limit) {
                is_full = true;
                continue;
            }
            let score = self.score((key, state), query, local_servers, now);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, key));
            }
        }
        match best {
            Some((_, key)) => Ok(key),
            None if is_full => Err(ErrorKind::Overloaded),
            None => Err(ErrorKind::NoBackend),
        }
    }

    /// Returns the part of an engine's memory that is in use with the request added. An empty
    /// engine has room for any request, which it refuses itself if it is too large.
    fn fill_with(&self, state: &ServerState, query: &PlacementQuery<'_>, now: MonoTime) -> f64 {
        let capacity = self.engine_spec(query.service).map_or(0, |engine| engine.memory_tokens);
        let used = state.total_load(now).memory_tokens();
        if used == 0 {
            return 0.0;
        }
        (used + query.demand.reserved_tokens()) as f64 / capacity.max(1) as f64
    }

    /// Returns which part of the memory on a service's leaving engines in a zone has room on its
    /// other engines there. The rest has to move to other zones.
    pub fn fraction_fitting_in_zone(&self, service: &str, zone: &str, now: MonoTime) -> f64 {
        let capacity = self.engine_spec(service).map_or(0, |engine| engine.memory_tokens);
        let limit = (capacity as f64 * MOVE_FILL_LIMIT) as u64;
        let (mut room, mut leaving) = (0, 0);
        for state in self.servers.values() {
            if state.record.service != service || state.record.zone != zone {
                continue;
            }
            let load = state.total_load(now);
            if state.accepts_requests(now) {
                room += limit.saturating_sub(load.memory_tokens());
            } else if state.leaving_since.is_some() {
                leaving += load.tokens;
            }
        }
        if leaving == 0 { 1.0 } else { (room as f64 / leaving as f64).min(1.0) }
    }

    /// Reserves a certain server, or returns `None` if it takes no work.
    pub fn place_at(
        &mut self,
        key: ServerKey,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Option<Placement> {
        let state = self.servers.get(key)?;
        if !state.accepts_requests(now)
            || self.evacuated.contains_key(&state.record.zone)
            || self.is_outgoing(state)
        {
            return None;
        }
        Some(self.reserve_work(key, query, now))
    }

    /// Reserves a server that may be leaving, for a generation whose memory it keeps.
    pub fn reserve_leaving(
        &mut self,
        key: ServerKey,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Option<Placement> {
        self.servers.contains_key(key).then(|| self.reserve_work(key, query, now))
    }

    fn reserve_work(
        &mut self,
        key: ServerKey,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Placement {
        let cold_rate = self.cold_rate(query.service);
        let state = &mut self.servers[key];
        if cold_rate > 0.0 && state.is_cold(now) {
            state.cold_limiter.take(cold_rate, now);
        }
        let is_near = query.preferred_zone == Some(state.record.zone.as_str());
        if let Some(prefix) = query.shared_prefix {
            self.remember_prefix(key, prefix, now);
        }
        // A moved generation reads nothing, but its memory has to arrive.
        let is_new = query.moved_tokens == 0;
        let load = ServerLoad {
            requests: 1,
            tokens: query.demand.reserved_tokens(),
            copy_tokens: 0,
            pending_prompt_tokens: if is_new { query.demand.prompt_tokens } else { 0 },
            arriving_tokens: query.moved_tokens * copy_factor(is_near),
        };
        self.reserve(key, load, now)
    }

    fn reserve(&mut self, key: ServerKey, load: ServerLoad, now: MonoTime) -> Placement {
        let state = &mut self.servers[key];
        let seen = state.total_load(now);
        state.own_load += load;
        Placement { server: key, id: state.id.clone(), address: state.record.address, seen, load }
    }

    fn remember_prefix(&mut self, key: ServerKey, prefix: u64, now: MonoTime) {
        let prefixes = self.prefixes.entry(key).or_default();
        prefixes.insert(prefix, now);
        if prefixes.len() <= PREFIXES_REMEMBERED {
            return;
        }
        if let Some(oldest) =
            prefixes.iter().min_by_key(|(_, used)| **used).map(|(prefix, _)| *prefix)
        {
            prefixes.remove(&oldest);
        }
    }

    /// Returns the load of a placement to its server.
    pub fn release(&mut self, key: ServerKey, load: ServerLoad) {
        if let Some(state) = self.servers.get_mut(key) {
            state.own_load -= load;
        }
    }

    /// Replaces a part of the load on a server.
    pub fn replace_load(&mut self, key: ServerKey, old: ServerLoad, new: ServerLoad) {
        if let Some(state) = self.servers.get_mut(key) {
            state.own_load -= old;
            state.own_load += new;
        }
    }

    /// Requests per second that this VM may send to each cold server of a service; zero for no
    /// limit.
    fn cold_rate(&self, service: &str) -> f64 {
        let rate = self
            .plan
            .as_ref()
            .and_then(|plan| plan.services.get(service))
            .map_or(0.0, |service| service.cold_rate);
        rate / self.vm_count.max(1) as f64
    }

    fn is_usable(
        &self,
        key: ServerKey,
        state: &ServerState,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> bool {
        if state.record.service != query.service || !state.accepts_requests(now) {
            return false;
        }
        if query.excluded.contains(&key) || self.evacuated.contains_key(&state.record.zone) {
            return false;
        }
        let cold_rate = self.cold_rate(query.service);
        if cold_rate > 0.0 && state.is_cold(now) && !state.cold_limiter.allows(now) {
            return false;
        }
        true
    }

    /// Returns the number of a service's servers in this VM's zone that take work.
    fn local_servers(&self, service: &str, now: MonoTime) -> usize {
        let zone = &self.settings.zone;
        let near = self.servers.values().filter(|state| {
            state.record.service == service
                && state.record.zone == *zone
                && state.accepts_requests(now)
        });
        near.count()
    }

    fn score(
        &self,
        (key, state): (ServerKey, &ServerState),
        query: &PlacementQuery<'_>,
        local_servers: usize,
        now: MonoTime,
    ) -> f64 {
        let holds_prefix = query.shared_prefix.is_some_and(|prefix| {
            self.prefixes.get(&key).is_some_and(|prefixes| prefixes.contains_key(&prefix))
        });
        let score = ServerScore {
            key,
            state,
            engine: self.engine_spec(query.service),
            holds_prefix,
            own_zone: &self.settings.zone,
            local_servers,
        };
        score.value(query, now)
    }
}
