//! Use of services' servers by zone.

use std::collections::BTreeMap;

use dragonflycart_core::MonoTime;
use dragonflycart_duties::{ScaleBounds, ZoneDemand};

use super::FleetView;

/// Use of a service's servers in a zone, and whether their number may be changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServiceDemand {
    pub(crate) service: String,
    pub(crate) zone: String,
    pub(crate) bounds: ScaleBounds,
    pub(crate) demand: ZoneDemand,
    /// Whether the zone is evacuated or can't be reached.
    pub(crate) is_closed: bool,
}

impl FleetView {
    /// Returns the use of all services whose servers are ordered, by zone. The waiting requests are
    /// not counted.
    pub(crate) fn zone_demands(&self, now: MonoTime) -> Vec<ServiceDemand> {
        let Some(plan) = &self.plan else { return Vec::new() };
        let unreachable = self.zone_reachability.unreachable_zones(now);
        let mut demands: BTreeMap<(&str, &str), ServiceDemand> = BTreeMap::new();
        for state in self.servers.values() {
            let record = &state.record;
            let Some(service) = plan.services.get(&record.service) else { continue };
            let Some(bounds) = service.scaling else { continue };
            let zone = record.zone.as_str();
            let entry = demands.entry((&service.name, zone)).or_insert_with(|| ServiceDemand {
                service: service.name.clone(),
                zone: zone.to_owned(),
                bounds,
                demand: ZoneDemand::default(),
                is_closed: self.evacuated.contains_key(zone) || unreachable.contains(zone),
            });
            let load = state.total_load(now);
            let demand = &mut entry.demand;
            // The requests of a server that leaves go on at others, so its use counts.
            demand.used += match service.engine {
                Some(_) => load.memory_tokens(),
                None => u64::from(load.requests),
            };
            demand.running += load.requests;
            if state.leaving_since.is_some() {
                continue;
            }
            demand.servers += 1;
            demand.server_capacity = match service.engine {
                Some(engine) => engine.memory_tokens,
                None => u64::from(record.slots).max(demand.server_capacity),
            };
        }
        demands.into_values().collect()
    }
}
