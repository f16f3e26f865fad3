//! Chooses the server for a request.

use dragonflycart_core::MonoTime;

use super::{
    FleetView, placement_scope::PlacementScope, server_choice::ServerChoice,
    server_comparison::ServerComparison,
};
use crate::{
    PlacementQuery, VersionRole, capacity::UNSUITABLE_COST, peer_table::SMALL_FLEET,
    server_score::spread,
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
    ///
    /// In a large fleet, VMs of other zones report their load late. If each VM compared all servers,
    /// many would choose the same one before they see each other's requests; a small random sample
    /// differs between requests.
    pub(super) fn choose(
        &self,
        query: &PlacementQuery<'_>,
        role: Option<VersionRole>,
        fill_limit: Option<f64>,
        now: MonoTime,
    ) -> ServerChoice {
        let scope = PlacementScope::new(self, query, now);
        let mut comparison = ServerComparison::new(&scope, role, fill_limit);
        let may_sample = self.vm_count > SMALL_FLEET && query.preferred_zone.is_none();
        let mut others = Vec::with_capacity(if may_sample { self.servers.len() } else { 0 });
        let mut local = 0;
        for (key, is_near) in self.places.of_service(query.service) {
            let state = &self.servers[key];
            if !state.accepts_requests(now) {
                continue;
            }
            if may_sample && !is_near {
                others.push((key, state));
                continue;
            }
            local += 1;
            comparison.consider(key, state);
        }
        if !may_sample {
            return ServerChoice::new(comparison.result(), role, 1.0);
        }
        if local < MIN_LOCAL_SERVERS {
            for (key, state) in others {
                comparison.consider(key, state);
            }
            return ServerChoice::new(comparison.result(), role, 1.0);
        }
        let share = REMOTE_SAMPLE / others.len().max(1) as f64;
        let mut left_out = Vec::with_capacity(others.len());
        for (key, state) in others {
            let draw = spread(query.sample_seed, key);
            if draw > share {
                left_out.push((draw, key, state));
            } else {
                comparison.consider(key, state);
            }
        }
        // If no server of the sample has room, all are considered.
        let is_suitable = comparison
            .lowest_score()
            .map(|score| scope.capacity.is_none() || score < UNSUITABLE_COST);
        let limit = match is_suitable {
            Some(true) => return ServerChoice::new(comparison.result(), role, share),
            Some(false) => share * WIDER_SAMPLE,
            None => 1.0,
        };
        for (draw, key, state) in left_out {
            if draw <= limit {
                comparison.consider(key, state);
            }
        }
        ServerChoice::new(comparison.result(), role, limit)
    }
}
