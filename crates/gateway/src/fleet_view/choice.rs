//! Chooses the server for a request.

use dragonflycart_capacity::CapacityTable;
use dragonflycart_core::{ErrorKind, MonoTime};

use super::{FleetView, server_choice::ServerChoice};
use crate::{
    PlacementQuery, ServerKey, ServerScore, ServerState, VersionRole, capacity::UNSUITABLE_COST,
    peer_table::SMALL_FLEET, server_score::spread,
};

/// Number of servers in other zones among which a VM of a large fleet chooses.
const REMOTE_SAMPLE: f64 = 3.0;
/// Minimum number of usable servers in a VM's zone for choosing among a sample of the others.
const MIN_LOCAL_SERVERS: u32 = 4;
/// Factor by which the sample grows if none of its servers is suitable.
const WIDER_SAMPLE: f64 = 4.0;

impl FleetView {
    /// Chooses among the servers of one version if the service has a version move.
    pub(super) fn choose_for_version_move(
        &self,
        query: &PlacementQuery<'_>,
        fill_limit: Option<f64>,
        now: MonoTime,
    ) -> ServerChoice {
        let Some(version_move) = self.version_moves.get(query.service) else {
            return self.choose(query, None, fill_limit, now);
        };
        let role = version_move.next_role(self.settings.exposure, self.sharing_vms);
        let choice = self.choose(query, Some(role), fill_limit, now);
        if choice.result.is_ok() || version_move.phase().is_final() {
            return choice;
        }
        match role {
            VersionRole::New => self.choose(query, Some(VersionRole::Old), fill_limit, now),
            // A VM that started after the version move was completed may not know its status yet.
            VersionRole::Old
                if version_move.may_have_ended(now)
                    && !self.has_servers_with_role(query.service, VersionRole::Old) =>
            {
                self.choose(query, Some(VersionRole::New), fill_limit, now)
            }
            VersionRole::Old => choice,
        }
    }

    /// Returns whether a service has servers with this role in its version move that are not
    /// leaving.
    fn has_servers_with_role(&self, service: &str, role: VersionRole) -> bool {
        let Some(version_move) = self.version_moves.get(service) else { return false };
        self.servers.values().any(|state| {
            state.record.service == service
                && state.leaving_since.is_none()
                && version_move.role_of(&state.record.version) == role
        })
    }

    /// Returns the usable server with the lowest score whose memory use stays within `fill_limit`
    /// when the request is added.
    pub(super) fn choose(
        &self,
        query: &PlacementQuery<'_>,
        role: Option<VersionRole>,
        fill_limit: Option<f64>,
        now: MonoTime,
    ) -> ServerChoice {
        let is_learned = self.capacity_for(query).is_some();
        if let Some(share) = self.remote_share(query, now) {
            let result = self.choose_among(query, role, fill_limit, share, now);
            match result {
                Ok((score, _)) if is_learned && score >= UNSUITABLE_COST => {
                    let share = share * WIDER_SAMPLE;
                    let wider = self.choose_among(query, role, fill_limit, share, now);
                    return ServerChoice::new(wider, role, share);
                }
                Ok(_) => return ServerChoice::new(result, role, share),
                Err(_) => {}
            }
        }
        ServerChoice::new(self.choose_among(query, role, fill_limit, 1.0, now), role, 1.0)
    }

    /// Returns the share of the servers in other zones to choose among, or `None` for all.
    ///
    /// In a large fleet, VMs of other zones report their load late. If each VM compared all servers,
    /// many would choose the same one before they see each other's requests; a small random sample
    /// differs between requests.
    fn remote_share(&self, query: &PlacementQuery<'_>, now: MonoTime) -> Option<f64> {
        if self.vm_count <= SMALL_FLEET || query.preferred_zone.is_some() {
            return None;
        }
        let (mut local, mut remote) = (0, 0);
        for state in self.servers.values() {
            if state.record.service != query.service || !state.accepts_requests(now) {
                continue;
            }
            if state.record.zone == self.settings.zone { local += 1 } else { remote += 1 }
        }
        (local >= MIN_LOCAL_SERVERS).then(|| REMOTE_SAMPLE / f64::from(remote.max(1)))
    }

    /// Chooses among the servers of this VM's zone and a share of the others.
    fn choose_among(
        &self,
        query: &PlacementQuery<'_>,
        role: Option<VersionRole>,
        fill_limit: Option<f64>,
        remote_share: f64,
        now: MonoTime,
    ) -> Result<(f64, ServerKey), ErrorKind> {
        let capacity = self.capacity_for(query);
        let version_move = self.version_moves.get(query.service);
        let mut best: Option<(f64, ServerKey)> = None;
        let mut is_full = false;
        let unreachable_zones = self.zone_reachability.unreachable_zones(now);
        for (key, state) in &self.servers {
            let has_other_role = match (version_move, role) {
                (Some(version_move), Some(role)) => {
                    version_move.role_of(&state.record.version) != role
                }
                _ => false,
            };
            let is_left_out = state.record.zone != self.settings.zone
                && spread(query.sample_seed, key) > remote_share;
            if has_other_role
                || is_left_out
                || !self.is_usable(key, state, query, now)
                || unreachable_zones.contains(state.record.zone.as_str())
            {
                continue;
            }
            if fill_limit.is_some_and(|limit| self.fill_with(state, query, now) > limit) {
                is_full = true;
                continue;
            }
            let score = self.score((key, state), capacity, query, now);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, key));
            }
        }
        match best {
            Some(best) => Ok(best),
            None if is_full => Err(ErrorKind::Overloaded),
            None => Err(ErrorKind::NoBackend),
        }
    }

    /// Returns the fraction of an engine's memory that is in use when the request is added. An
    /// empty engine accepts any request; it rejects one that is too large itself.
    pub(super) fn fill_with(
        &self,
        state: &ServerState,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> f64 {
        let capacity = self.engine_spec(query.service).map_or(0, |engine| engine.memory_tokens);
        let used = state.total_load(now).memory_tokens();
        if used == 0 {
            return 0.0;
        }
        (used + query.demand.reserved_tokens()) as f64 / capacity.max(1) as f64
    }

    pub(super) fn is_usable(
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
        !self.is_cold_limited(key, now)
    }

    fn score(
        &self,
        server: (ServerKey, &ServerState),
        capacity: Option<&CapacityTable<ServerKey>>,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> f64 {
        self.score_inputs(server, capacity, query, now).value(query, now)
    }

    pub(super) fn score_inputs<'a>(
        &'a self,
        (key, state): (ServerKey, &'a ServerState),
        capacity: Option<&'a CapacityTable<ServerKey>>,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> ServerScore<'a> {
        let holds_prefix = query.shared_prefix.is_some_and(|prefix| {
            self.prefixes.get(&key).is_some_and(|prefixes| prefixes.contains_key(&prefix))
        });
        let capacity = capacity.map(|table| (table, table.outlook(key, now)));
        let is_retest = capacity.is_some_and(|(table, outlook)| {
            outlook.is_avoided() && self.is_retest(table, (key, state), query, now)
        });
        ServerScore {
            key,
            state,
            engine: self.engine_spec(query.service),
            holds_prefix,
            own_zone: &self.settings.zone,
            capacity,
            is_retest,
        }
    }
}
