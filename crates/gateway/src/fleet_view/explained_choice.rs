//! Explains the choice of a server for a request.

use dragonflycart_core::MonoTime;
use dragonflycart_explanation::{RoleChoice, ServerExclusion, ServerExplanation};

use super::{FleetView, placement_scope::PlacementScope, server_choice::ServerChoice};
use crate::{
    ChoiceExplanation, GenerationTiming, PlacementQuery, ServerKey, ServerState, VersionRole,
    server_score::spread, server_state::whole_millis,
};

impl FleetView {
    /// Returns which server a placement would choose now, and how each server of the service is
    /// judged. It takes the time of a placement plus that of one score for each server of the
    /// service.
    pub fn explain_choice(&self, query: &PlacementQuery<'_>, now: MonoTime) -> ChoiceExplanation {
        let fill_limit = self.engine_spec(query.service).map(|_| self.fill_limit(query, now));
        let choice = self.choose_for_version_move(query, fill_limit, now);
        let roles = self.tried_roles(query, choice);
        let scope = PlacementScope::new(self, query, now);
        let unreachable_zones = self.zone_reachability.unreachable_zones(now);
        let capacity = self.capacity_for(query);
        let mut servers = Vec::new();
        for (key, state) in &self.servers {
            if state.record.service != query.service {
                continue;
            }
            let mut excluded = self.common_exclusions((key, state), query, now);
            if unreachable_zones.contains(state.record.zone.as_str()) {
                excluded.push(ServerExclusion::UnreachableZone);
            }
            if fill_limit.is_some_and(|limit| scope.fill_with(state) > limit) {
                excluded.push(ServerExclusion::Full);
            }
            if let Some(version_move) = self.version_moves.get(query.service)
                && !roles.contains(&version_move.role_of(&state.record.version))
            {
                excluded.push(ServerExclusion::VersionRole);
            }
            if state.record.zone != self.settings.zone
                && spread(query.sample_seed, key) > choice.remote_share
            {
                excluded.push(ServerExclusion::NotInSample);
            }
            let outlook = capacity.map(|table| table.outlook(key, now));
            let score = scope.score_inputs((key, state), outlook).parts(query, now);
            let load = state.total_load(now);
            let mut ages = state.input_ages(now);
            ages.speed_ms = capacity.and_then(|table| table.sample_age(key, now)).map(whole_millis);
            servers.push(ServerExplanation {
                id: state.id.clone(),
                address: state.record.address,
                zone: state.record.zone.clone(),
                version: state.record.version.clone(),
                excluded,
                score: score.total,
                parts: score.parts.into_iter().filter(|(_, value)| *value != 0.0).collect(),
                requests: load.requests,
                slots: state.record.slots,
                memory_tokens: load.memory_tokens(),
                pending_prompt_tokens: load.pending_prompt_tokens,
                speed: capacity.map(|table| table.speed(key, now)),
                ages,
            });
        }
        // The sort is stable, so the first of several servers with the lowest score is the one that
        // a placement chooses.
        servers.sort_by(|one, other| {
            let is_behind = |server: &ServerExplanation| !server.excluded.is_empty();
            let by_score = one.score.total_cmp(&other.score);
            is_behind(one).cmp(&is_behind(other)).then(by_score)
        });
        ChoiceExplanation {
            result: choice.result.map(|key| self.servers[key].id.clone()),
            fill_limit,
            sampled_share: choice.remote_share.min(1.0),
            version_move: self.role_choice(query, choice),
            servers,
        }
    }

    /// Returns the timing of a service's generations, if there are results.
    pub fn timing(&self, service: &str) -> Option<&GenerationTiming> {
        self.timings.get(service)
    }

    /// Returns why a server is not usable for a request, apart from its zone's reachability, its
    /// memory, its version and the sample.
    fn common_exclusions(
        &self,
        (key, state): (ServerKey, &ServerState),
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Vec<ServerExclusion> {
        let mut excluded = state.closed_reasons(now);
        if query.excluded.contains(&key) {
            excluded.push(ServerExclusion::Full);
        }
        if self.evacuated.contains_key(&state.record.zone) {
            excluded.push(ServerExclusion::EvacuatedZone);
        }
        if self.is_cold_limited(key, now) {
            excluded.push(ServerExclusion::ColdLimit);
        }
        excluded
    }

    /// Returns the roles whose servers were tried for a choice. If there are two, no server of the
    /// first one was usable.
    fn tried_roles(&self, query: &PlacementQuery<'_>, choice: ServerChoice) -> Vec<VersionRole> {
        let version_move = self.version_moves.get(query.service);
        let first = version_move
            .map(|version_move| version_move.next_role(self.settings.exposure, self.sharing_vms));
        first.into_iter().chain(choice.role).collect()
    }

    fn role_choice(&self, query: &PlacementQuery<'_>, choice: ServerChoice) -> Option<RoleChoice> {
        let version_move = self.version_moves.get(query.service)?;
        let role = match choice.role? {
            VersionRole::Old => "old",
            VersionRole::New => "new",
        };
        Some(RoleChoice { phase: version_move.phase().to_string(), role: role.to_owned() })
    }
}
