//! Recent results of all routes.

use std::collections::BTreeMap;

use crate::{RouteBaseline, UsualResults};

/// Recent results by route.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RouteBaselines {
    routes: BTreeMap<String, RouteBaseline>,
}

impl RouteBaselines {
    /// Returns the usual results of a route.
    pub fn usual(&self, route: &str) -> UsualResults {
        self.routes.get(route).map(RouteBaseline::usual).unwrap_or_default()
    }

    /// Returns the usual results of the routes for which `is_used` returns true.
    pub fn usual_of(&self, is_used: impl Fn(&str) -> bool) -> BTreeMap<String, UsualResults> {
        let mut usual = BTreeMap::new();
        for (route, baseline) in &self.routes {
            if is_used(route) {
                usual.insert(route.clone(), baseline.usual());
            }
        }
        usual
    }

    /// Returns the mutable baseline of a route.
    pub fn route_mut(&mut self, route: &str) -> &mut RouteBaseline {
        self.routes.entry(route.to_owned()).or_default()
    }

    /// Drops the routes for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_kept(route));
    }
}
