//! Usual results of all routes.

use std::collections::BTreeMap;

use crate::RouteBaseline;

/// Recent results by route.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteBaselines {
    routes: BTreeMap<String, RouteBaseline>,
}

impl RouteBaselines {
    /// Returns the baseline of a route, if it had a response.
    pub fn route(&self, route: &str) -> Option<&RouteBaseline> {
        self.routes.get(route)
    }

    /// Returns the mutable baseline of a route.
    pub fn route_mut(&mut self, route: &str) -> &mut RouteBaseline {
        self.routes.entry(route.to_owned()).or_default()
    }

    /// Returns whether a response of a route is slow if it takes this long, in milliseconds.
    pub fn is_slow_time(&self, route: &str, time_ms: f64) -> bool {
        self.route(route).is_some_and(|baseline| baseline.is_slow_time(time_ms))
    }

    /// Drops the routes for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_kept(route));
    }
}
