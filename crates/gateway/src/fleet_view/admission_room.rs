//! Room on engines for requests of different classes.

use dragonflycart_admission::{AdmissionClass, LeaveHistory};
use dragonflycart_core::MonoTime;

use super::{
    FleetView,
    placement_scope::PlacementScope,
    placing::{MOVE_FILL_LIMIT, RUN_FILL_LIMIT},
};
use crate::PlacementQuery;

impl FleetView {
    /// Returns the maximum fraction of an engine's memory in use after the request is placed there.
    /// Deferrable requests leave room for urgent ones and for generations of engines that leave.
    pub(super) fn fill_limit(&self, query: &PlacementQuery<'_>, now: MonoTime) -> f64 {
        if query.preferred_zone.is_some() {
            return MOVE_FILL_LIMIT;
        }
        match query.admission {
            AdmissionClass::Deferrable => RUN_FILL_LIMIT - self.move_room(query.service, now),
            AdmissionClass::Urgent | AdmissionClass::Unmanaged => RUN_FILL_LIMIT,
        }
    }

    /// Returns the fraction of each engine's memory to keep free for generations of engines that
    /// leave, as learned from those that left lately.
    pub fn move_room(&self, service: &str, now: MonoTime) -> f64 {
        let Some(engine) = self.engine_spec(service).filter(|engine| engine.can_move) else {
            return 0.0;
        };
        let mut capacity = 0;
        let mut leaves = Vec::new();
        for (key, _) in self.places.of_service(service) {
            let state = &self.servers[key];
            match state.leaving_since {
                Some(since) => leaves.push((since, state.tokens_at_leave)),
                None => capacity += engine.memory_tokens,
            }
        }
        LeaveHistory::recent(leaves.into_iter(), now).move_room(capacity)
    }

    /// Returns the tokens of requests like this one that the engines have room for now.
    pub fn room_tokens(&self, query: &PlacementQuery<'_>, now: MonoTime) -> u64 {
        let scope = PlacementScope::new(self, query, now);
        let Some(engine) = scope.engine else { return 0 };
        let limit = (engine.memory_tokens as f64 * self.fill_limit(query, now)) as u64;
        let own = query.demand.reserved_tokens().max(1);
        let mut room = 0;
        for (key, _) in self.places.of_service(query.service) {
            let state = &self.servers[key];
            if !scope.is_usable(key, state) {
                continue;
            }
            let used = state.total_load(now).memory_tokens();
            let requests = limit.saturating_sub(used) / own;
            // An empty engine accepts any request.
            room += own * if used == 0 { requests.max(1) } else { requests };
        }
        room
    }
}
