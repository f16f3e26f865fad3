//! The route plan.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflycart_admission::AdmissionClass;

use crate::{CallerLimits, PlannedRoute, PlannedService, PlannedTeam};

/// Routes, services, limits and teams of one version of the operators' configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutePlan {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host, sorted by descending length of the prefix.
    routes: BTreeMap<String, Vec<PlannedRoute>>,
    /// Services by name.
    pub services: BTreeMap<String, PlannedService>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Teams by key, or `None` if the plan has no teams and needs no credentials.
    teams: Option<BTreeMap<String, PlannedTeam>>,
    /// Priorities and latency targets of the routes of each engine service. A plan may have
    /// thousands of routes, and these are needed for each request.
    targets: BTreeMap<String, BTreeSet<(u8, Duration)>>,
}

impl RoutePlan {
    /// Builds a plan from its parts.
    pub fn new(
        version: u64,
        routes: Vec<PlannedRoute>,
        services: Vec<PlannedService>,
        limits: CallerLimits,
        teams: Option<Vec<PlannedTeam>>,
    ) -> RoutePlan {
        let mut by_host = BTreeMap::<String, Vec<PlannedRoute>>::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services: BTreeMap<String, PlannedService> =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut targets = BTreeMap::<String, BTreeSet<(u8, Duration)>>::new();
        for route in by_host.values().flatten() {
            for (service, _) in &route.services {
                if services.get(service).is_none_or(|service| service.engine.is_none()) {
                    continue;
                }
                let known = targets.entry(service.clone()).or_default();
                known.insert((route.priority, route.latency_target));
            }
        }
        RoutePlan {
            version,
            routes: by_host,
            services,
            limits,
            teams: teams.map(index_teams),
            targets,
        }
    }

    /// Returns the route with the longest prefix of `path` on `host`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&PlannedRoute> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.routes.get(&host)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns whether the plan has a route of this name.
    pub fn has_route(&self, name: &str) -> bool {
        self.route_named(name).is_some()
    }

    /// Returns the route of this name.
    pub fn route_named(&self, name: &str) -> Option<&PlannedRoute> {
        self.routes.values().flatten().find(|route| route.name == name)
    }

    /// Returns the route that `path` has on each host.
    pub fn routes_of(&self, path: &str) -> Vec<&PlannedRoute> {
        self.routes.keys().filter_map(|host| self.find_route(host, path)).collect()
    }

    /// Returns the team of this name.
    pub fn team_named(&self, name: &str) -> Option<&PlannedTeam> {
        self.teams.as_ref()?.values().find(|team| team.name == name)
    }

    /// Returns whether the route of this name uses a service.
    pub fn route_uses(&self, name: &str, service: &str) -> bool {
        let uses = |route: &PlannedRoute| route.services.iter().any(|(used, _)| used == service);
        self.routes.values().flatten().any(|route| route.name == name && uses(route))
    }

    /// Returns how requests of a route are admitted to the servers of a service. A route is
    /// deferrable if another route of an engine service is more urgent and has a shorter latency
    /// target.
    pub fn admission_class(&self, route: &PlannedRoute, service: &str) -> AdmissionClass {
        let Some(targets) = self.targets.get(service) else { return AdmissionClass::Unmanaged };
        if is_deferrable(targets, (route.priority, route.latency_target)) {
            AdmissionClass::Deferrable
        } else if has_deferrable(targets) {
            AdmissionClass::Urgent
        } else {
            AdmissionClass::Unmanaged
        }
    }

    /// Returns whether some engine service has a deferrable route. Only then do VMs order what waits
    /// at plain services and refuse requests because they are overloaded themselves.
    pub fn has_deferrable_route(&self) -> bool {
        self.targets.values().any(has_deferrable)
    }

    /// Returns whether non-public routes require a credential.
    pub fn has_teams(&self) -> bool {
        self.teams.is_some()
    }

    /// Returns the team that has the API key `key`.
    pub fn find_team(&self, key: &str) -> Option<&PlannedTeam> {
        self.teams.as_ref()?.get(key)
    }
}

fn index_teams(teams: Vec<PlannedTeam>) -> BTreeMap<String, PlannedTeam> {
    let mut by_key = BTreeMap::new();
    for team in teams {
        for key in &team.keys {
            by_key.insert(key.clone(), team.clone());
        }
    }
    by_key
}

/// Returns whether a route with this priority and latency target is deferrable among the routes of
/// a service.
fn is_deferrable(targets: &BTreeSet<(u8, Duration)>, (priority, target): (u8, Duration)) -> bool {
    targets.iter().any(|(other, other_target)| *other < priority && *other_target < target)
}

fn has_deferrable(targets: &BTreeSet<(u8, Duration)>) -> bool {
    targets.iter().any(|route| is_deferrable(targets, *route))
}
