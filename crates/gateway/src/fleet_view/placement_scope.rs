//! Servers that a request may be placed on.

use std::collections::BTreeSet;

use dragonflycart_capacity::{CapacityTable, ServerOutlook};
use dragonflycart_core::MonoTime;

use super::FleetView;
use crate::{EngineSpec, PlacementQuery, ServerKey, ServerScore, ServerState};

/// Inputs of a placement that are the same for all servers. They are looked up once, since a
/// placement checks hundreds of servers.
pub(super) struct PlacementScope<'a> {
    pub(super) query: &'a PlacementQuery<'a>,
    pub(super) now: MonoTime,
    /// Specification of the service's engines, or `None` for a plain service.
    pub(super) engine: Option<EngineSpec>,
    /// Learned capacity of the service's servers, if the placement uses it.
    pub(super) capacity: Option<&'a CapacityTable<ServerKey>>,
    pub(super) view: &'a FleetView,
    cold_rate: f64,
    unreachable_zones: BTreeSet<&'a str>,
}

impl<'a> PlacementScope<'a> {
    pub(super) fn new(
        view: &'a FleetView,
        query: &'a PlacementQuery<'a>,
        now: MonoTime,
    ) -> PlacementScope<'a> {
        PlacementScope {
            query,
            now,
            engine: view.engine_spec(query.service),
            capacity: view.capacity_for(query),
            view,
            cold_rate: view.cold_rate(query.service),
            unreachable_zones: view.zone_reachability.unreachable_zones(now),
        }
    }

    /// Returns whether a server of the request's service may get it, if it has room.
    pub(super) fn is_usable(&self, key: ServerKey, state: &ServerState) -> bool {
        let zone = &state.record.zone;
        let is_cold_limited =
            self.cold_rate > 0.0 && state.is_cold(self.now) && !state.cold_limiter.allows(self.now);
        state.accepts_requests(self.now)
            && !is_cold_limited
            && !self.query.excluded.contains(&key)
            && !self.view.evacuated.contains_key(zone)
            && !self.unreachable_zones.contains(zone.as_str())
    }

    /// Returns the fraction of an engine's memory that is in use when the request is added. An
    /// empty engine accepts any request; it rejects one that is too large itself.
    pub(super) fn fill_with(&self, state: &ServerState) -> f64 {
        let capacity = self.engine.map_or(0, |engine| engine.memory_tokens);
        let used = state.total_load(self.now).memory_tokens();
        if used == 0 {
            return 0.0;
        }
        (used + self.query.demand.reserved_tokens()) as f64 / capacity.max(1) as f64
    }

    /// Returns the inputs of a server's score. `outlook` is what is expected of it if the placement
    /// uses learned capacity.
    pub(super) fn score_inputs<'s>(
        &'s self,
        (key, state): (ServerKey, &'s ServerState),
        outlook: Option<ServerOutlook>,
    ) -> ServerScore<'s> {
        let PlacementScope { query, now, engine, view, capacity, .. } = *self;
        let holds_prefix = query.shared_prefix.is_some_and(|prefix| {
            view.prefixes.get(key).is_some_and(|prefixes| prefixes.contains_key(&prefix))
        });
        let capacity = capacity.zip(outlook);
        let is_retest = capacity.is_some_and(|(table, outlook)| {
            outlook.is_avoided() && view.is_retest(table, (key, state), query, now)
        });
        ServerScore {
            key,
            state,
            engine,
            holds_prefix,
            own_zone: &view.settings.zone,
            capacity,
            is_retest,
        }
    }
}
