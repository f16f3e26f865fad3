//! Choice of a server for one request within all limits.

use std::collections::BTreeMap;

use dragonflycart_core::{MonoTime, TeamName, VmOrdinal, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    ColdSlots, LengthEstimator, PlacementCandidate, PlacementPolicy, PolicySettings, PoolKey,
    RetrySubset, ServerKey, ServerPool, ServerReport, ServerTable, TeamKey, UnknownPolicy,
    VmPosition, ZoneKey, ZoneLimits, find_policy, name_index::NameIndex,
    request_entry::RequestEntry, request_size::RequestSize, server_state::OwnAttempt,
};

/// Quantiles that stand for the running requests of other VMs.
const RESIDUAL_QUANTILES: [f64; 4] = [0.125, 0.375, 0.625, 0.875];

/// Server chosen for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChosenServer {
    pub(crate) server: ServerKey,
    pub(crate) cold: bool,
}

/// Chooses a server for one request within all limits.
#[derive(Debug)]
pub(crate) struct RequestPlacer {
    pub(crate) settings: PolicySettings,
    pub(crate) position: VmPosition,
    pub(crate) servers: ServerTable,
    pub(crate) lengths: LengthEstimator,
    pub(crate) cold: ColdSlots,
    pub(crate) teams: NameIndex<TeamName>,
    zones: BTreeMap<ZoneKey, ZoneLimits>,
    own_zone: ZoneKey,
    ordinals: Vec<(ZoneName, VmOrdinal)>,
    vms: u32,
    policy: Box<dyn PlacementPolicy>,
    random: ChaCha8Rng,
    residuals: Vec<u32>,
    subsets: BTreeMap<(TeamKey, PoolKey), RetrySubset>,
    subsets_of: u64,
    candidates: Vec<PlacementCandidate>,
    draws: Vec<f64>,
    /// Sizes that were refused since the last call of `begin_pass`.
    refused: Vec<RequestSize>,
    /// Share of the time in which requests wait for the pool of the current pass.
    contention: f64,
}

impl RequestPlacer {
    pub(crate) fn new(
        settings: PolicySettings,
        position: VmPosition,
        now: MonoTime,
    ) -> Result<RequestPlacer, UnknownPolicy> {
        let registration =
            find_policy(&settings.policy).ok_or_else(|| UnknownPolicy(settings.policy.clone()))?;
        let mut ordinals = Vec::new();
        for (zone, count) in &settings.ordinal_counts {
            for number in 0..*count {
                ordinals.push((zone.clone(), VmOrdinal(number)));
            }
        }
        let own_count = settings.ordinal_counts.get(&position.zone).copied().unwrap_or(1);
        let cold = ColdSlots::new(
            position.ordinal,
            own_count,
            position.incarnation,
            settings.report_freshness,
            now,
        );
        let mut servers = ServerTable::new();
        let own_zone = servers.zone_key(&position.zone);
        let lengths = LengthEstimator::new(settings.prior_length);
        Ok(RequestPlacer {
            policy: (registration.build)(&settings),
            random: ChaCha8Rng::seed_from_u64(settings.random_seed),
            residuals: lengths.residuals(&RESIDUAL_QUANTILES),
            vms: ordinals.len().max(1) as u32,
            settings,
            position,
            servers,
            lengths,
            cold,
            teams: NameIndex::new(),
            zones: BTreeMap::new(),
            own_zone,
            ordinals,
            subsets: BTreeMap::new(),
            subsets_of: 0,
            candidates: Vec::new(),
            draws: Vec::new(),
            refused: Vec::new(),
            contention: 0.0,
        })
    }

    /// Sets how many VMs are assumed to share the servers.
    pub(crate) fn set_vm_count(&mut self, vms: u32) {
        self.vms = vms.max(1);
    }

    /// Recomputes what is derived from the length statistics of all requests.
    pub(crate) fn refresh_residuals(&mut self) {
        self.residuals = self.lengths.residuals(&RESIDUAL_QUANTILES);
    }

    pub(crate) fn set_zone(&mut self, zone: &ZoneName, open: bool, limit: u32, now: MonoTime) {
        let key = self.servers.zone_key(zone);
        let own = (&self.position.zone, self.position.ordinal);
        let part = ZoneLimits::part_of_ordinal(zone, limit, &self.ordinals, own);
        // A zone that is open when this VM learns of it for the first time doesn't ramp up: it
        // didn't return to service because this VM started.
        let known = self.zones.contains_key(&key);
        self.zones.entry(key).or_default().apply(open, part, now, known);
    }

    /// Returns the limits of a zone.
    pub(crate) fn zone(&self, zone: &ZoneName) -> Option<&ZoneLimits> {
        self.zones.get(&self.servers.find_zone(zone)?)
    }

    /// Returns whether a server that may get new work serves a pool, in a zone that is in service.
    pub(crate) fn can_serve(&self, pool: &ServerPool, now: MonoTime) -> bool {
        let Some(pool) = self.servers.find_pool(pool) else {
            return false;
        };
        self.servers.members(pool).iter().any(|key| {
            let state = self.servers.get(*key);
            state.is_usable(now, self.settings.report_timeout)
                && self.zones.get(&state.zone).is_some_and(ZoneLimits::is_open)
        })
    }

    /// Applies a load report.
    pub(crate) fn report(&mut self, server: ServerKey, report: ServerReport, now: MonoTime) {
        self.servers.update_pools(server, &report);
        let ordinal_running = report.running_of_ordinal(&self.position.zone, self.position.ordinal);
        let foreign = report.running_outside(&self.position.zone);
        let state = self.servers.get_mut(server);
        let (instance, taken_at) = (report.instance, report.taken_at);
        if !state.apply_report(report, now) {
            return;
        }
        state.draw = self.random.random();
        state.foreign_requests = foreign;
        let own_running = state.attempts.len() as u32;
        self.refresh_forecast(server);
        let state = self.servers.get_mut(server);
        // A frozen report says nothing about the requests that are running now.
        if state.zone != self.own_zone || state.is_frozen() {
            return;
        }
        self.cold.observe(server, instance, taken_at, (ordinal_running, own_running), now);
        if state.is_cold() {
            let limit = state.limit(self.settings.cold_slots);
            self.cold.prepare(server, &state.spec.name, limit);
        }
    }

    /// Rebuilds the forecast of a server after an event, to keep this out of the placement of a
    /// request.
    pub(crate) fn refresh_forecast(&mut self, server: ServerKey) {
        if !self.policy.uses_forecast() {
            return;
        }
        let quantile = self.settings.length_quantile;
        let state = self.servers.get_mut(server);
        state.refresh_forecast(&self.lengths, quantile, &self.residuals, self.vms);
    }

    /// Begins a pass over the waiting requests of a pool. Until the next pass, placements only add load, so a
    /// request that is as large as a refused one is refused without a comparison of servers.
    pub(crate) fn begin_pass(&mut self, contention: f64) {
        self.refused.clear();
        self.contention = contention;
    }

    /// Chooses a server and counts the request there, or returns `None` if it has to wait.
    pub(crate) fn place(&mut self, entry: &RequestEntry, now: MonoTime) -> Option<ChosenServer> {
        let size = RequestSize {
            pool: entry.pool,
            class: entry.class,
            held: entry.prompt + entry.tokens,
            remaining: entry.remaining,
        };
        if self.refused.iter().any(|refused| refused.covers(&size)) {
            return None;
        }
        self.collect_candidates(entry, &size, now);
        let Some(position) = self.policy.choose(&self.candidates, &self.draws) else {
            // A retry may use only few servers, so its refusal says nothing about others.
            if !entry.retry {
                self.refused.push(size);
            }
            return None;
        };
        let candidate = self.candidates[position];
        let server = self.servers.get_mut(candidate.server);
        server.add(
            entry.ticket,
            OwnAttempt {
                prompt: entry.prompt,
                tokens: entry.tokens,
                sent_at: now,
                first_token: false,
                team: entry.team,
                route: entry.route,
                class: entry.class,
            },
        );
        if let Some(prefix) = entry.prefix {
            server.prefixes.insert(prefix.digest);
        }
        let zone = server.zone;
        self.zones.entry(zone).or_default().add();
        Some(ChosenServer { server: candidate.server, cold: candidate.cold })
    }

    /// Counts the end of a request on a server.
    pub(crate) fn release(&mut self, entry: &RequestEntry, server: ServerKey, now: MonoTime) {
        let state = self.servers.get_mut(server);
        if state.remove(entry.ticket, now).is_none() {
            return;
        }
        let zone = state.zone;
        self.zones.entry(zone).or_default().remove();
    }

    fn collect_candidates(&mut self, entry: &RequestEntry, size: &RequestSize, now: MonoTime) {
        self.candidates.clear();
        self.draws.clear();
        if entry.retry {
            self.prepare_subset(entry);
        }
        let members = self.servers.members(entry.pool).len();
        // Comparing all servers of a large pool would exceed the time bound of a placement, and
        // choosing the best of all would send all VMs to the same server.
        let first = if members > self.settings.candidate_limit {
            self.random.random_range(0..members)
        } else {
            0
        };
        for step in 0..members {
            if self.candidates.len() >= self.settings.candidate_limit {
                break;
            }
            let key = self.servers.members(entry.pool)[(first + step) % members];
            if let Some(candidate) = self.candidate(entry, size, key, now) {
                self.candidates.push(candidate);
                self.draws.push(self.random.random());
            }
        }
    }

    /// Returns whether a retry must avoid a server that failed the request. One that only refused
    /// it, for example because it was restarted, may get it again after a new report when no other
    /// server is left.
    fn avoids(&self, entry: &RequestEntry, key: ServerKey, now: MonoTime) -> bool {
        if !entry.failed_on.contains(&key) {
            return false;
        }
        let timeout = self.settings.report_timeout;
        let untried = |server: &ServerKey| {
            !entry.failed_on.contains(server) && self.servers.get(*server).is_usable(now, timeout)
        };
        let subset = self.subsets.get(&(entry.team, entry.pool));
        let report = self.servers.get(key).report.as_ref();
        entry.lost_on.contains(&key)
            || report.is_none_or(|report| report.taken_at <= entry.failed_at)
            || subset.is_some_and(|subset| subset.servers().iter().any(untried))
    }

    fn candidate(
        &mut self,
        entry: &RequestEntry,
        size: &RequestSize,
        key: ServerKey,
        now: MonoTime,
    ) -> Option<PlacementCandidate> {
        let state = self.servers.get(key);
        if !state.is_usable(now, self.settings.report_timeout) || self.avoids(entry, key, now) {
            return None;
        }
        if entry.retry && !self.subsets.get(&(entry.team, entry.pool))?.contains(key) {
            return None;
        }
        if !self.zones.get(&state.zone)?.has_room(now, self.settings.zone_ramp) {
            return None;
        }
        let report = state.report.as_ref()?;
        let memory_total = report.memory_total_tokens;
        if memory_total > 0 && u64::from(size.held) >= memory_total {
            return None;
        }
        let own_requests = state.attempts.len() as u32;
        let cold = state.is_cold();
        let limit = state.limit(self.settings.cold_slots);
        let estimated_requests = state.estimated_requests(self.vms);
        // A server that turned cold without a restart still runs requests that were sent to it
        // while it was warm. Those of other zones hold no slot, so they take slots from the end.
        let foreign = state.foreign_requests;
        if cold
            && (state.zone != self.own_zone
                || estimated_requests >= limit
                || !self.cold.has_free(key, limit.saturating_sub(foreign), own_requests, now))
        {
            return None;
        }
        let claimed_requests = state.claims_of_others(self.vms, self.contention);
        let prefix_share = entry.prefix.map_or(0.0, |prefix| {
            let known = state.prefixes.contains(prefix.digest);
            if known { f64::from(prefix.tokens) / f64::from(entry.prompt.max(1)) } else { 0.0 }
        });
        let mut candidate = PlacementCandidate {
            server: key,
            own_requests,
            reported_requests: report.running + report.waiting,
            reported_memory: report.memory_used_tokens,
            memory_total,
            estimated_requests,
            claimed_requests,
            limit,
            cold,
            forecast_peak: 0.0,
            prefix_share: prefix_share.min(1.0),
            remote: state.zone != self.own_zone,
            reserve: self.settings.class_reserve[size.class as usize],
        };
        if self.policy.uses_forecast() {
            candidate.forecast_peak = self.forecast_peak(size, key, claimed_requests);
        }
        Some(candidate)
    }

    fn forecast_peak(&mut self, size: &RequestSize, key: ServerKey, claimed: f64) -> f64 {
        self.refresh_forecast(key);
        let state = self.servers.get(key);
        let (held, remaining) = (f64::from(size.held), f64::from(size.remaining));
        state.forecast.peak_with(held, remaining, 1.0 + claimed)
    }

    fn prepare_subset(&mut self, entry: &RequestEntry) {
        if self.subsets_of != self.servers.changes() {
            self.subsets.clear();
            self.subsets_of = self.servers.changes();
        }
        let servers = &self.servers;
        let teams = &self.teams;
        let size = self.settings.retry_subset;
        self.subsets.entry((entry.team, entry.pool)).or_insert_with(|| {
            let members = servers.members(entry.pool);
            let named = members.iter().map(|key| (*key, servers.get(*key).spec.name.clone()));
            let pool = format!("{:?}", servers.pool(entry.pool));
            RetrySubset::select(teams.name(entry.team.0), &pool, named, size)
        });
    }
}
