//! Reserves load on servers.

use dragonflycart_core::{ErrorKind, MonoTime, PromptPart};

use super::FleetView;
use crate::{Placement, PlacementQuery, ServerKey, ServerLoad, server_score::copy_factor};

/// Maximum fraction of an engine's memory in use after a new generation is placed there.
pub(super) const RUN_FILL_LIMIT: f64 = 0.97;
/// The same for generations that are moved from engines that shut down.
pub(super) const MOVE_FILL_LIMIT: f64 = 0.98;
/// The same for backup copies of other engines' generations. The rest of the memory is left to the
/// engine's own generations.
const COPY_FILL_LIMIT: f64 = 0.20;
/// Maximum number of prompt prefixes remembered per server.
const PREFIXES_REMEMBERED: usize = 256;

impl FleetView {
    /// Chooses a server and reserves the request's load on it.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NoBackend`] if no server accepts requests, and
    /// [`ErrorKind::Overloaded`] if none has capacity.
    pub fn place(
        &mut self,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Result<Placement, ErrorKind> {
        let fill_limit = self.engine_spec(query.service).map(|_| self.fill_limit(query, now));
        let key = self.choose_for_version_move(query, fill_limit, now).result?;
        self.zone_reachability.note_tried(&self.servers[key].record.zone, now);
        Ok(self.reserve_work(key, query, now))
    }

    /// Chooses an engine for backup copies of the memory of a generation on the server `source`, and
    /// reserves memory on it. The engine has the same version, unless that one is taken out of use:
    /// a generation that is resumed must not get past the limits of a version move.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NoBackend`] if no engine accepts requests, and
    /// [`ErrorKind::Overloaded`] if none has capacity.
    pub fn place_copy(
        &mut self,
        query: &PlacementQuery<'_>,
        source: ServerKey,
        now: MonoTime,
    ) -> Result<Placement, ErrorKind> {
        let version_move = self.version_moves.get(query.service);
        let source = self.servers.get(source).filter(|source| !self.is_outgoing(source));
        let role = match (version_move, source) {
            (Some(version_move), Some(source)) => {
                Some(version_move.role_of(&source.record.version))
            }
            (Some(version_move), None) => {
                Some(version_move.next_role(self.settings.exposure, self.sharing_vms))
            }
            (None, _) => None,
        };
        let key = self.choose(query, role, Some(COPY_FILL_LIMIT), now).result?;
        let tokens = query.demand.reserved_tokens();
        Ok(self.reserve(key, ServerLoad { copy_tokens: tokens, ..ServerLoad::default() }, now))
    }

    /// Returns the fraction of the memory in use on a service's leaving engines in a zone that fits
    /// on the service's other engines in that zone. The rest has to move to other zones.
    pub fn fraction_fitting_in_zone(&self, service: &str, zone: &str, now: MonoTime) -> f64 {
        let capacity = self.engine_spec(service).map_or(0, |engine| engine.memory_tokens);
        let limit = (capacity as f64 * MOVE_FILL_LIMIT) as u64;
        let (mut room, mut leaving) = (0, 0);
        for state in self.servers.values() {
            if state.record.service != service || state.record.zone != zone {
                continue;
            }
            let load = state.total_load(now);
            if state.accepts_requests(now) {
                room += limit.saturating_sub(load.memory_tokens());
            } else if state.leaving_since.is_some() {
                leaving += load.tokens;
            }
        }
        if leaving == 0 { 1.0 } else { (room as f64 / leaving as f64).min(1.0) }
    }

    /// Reserves a given server, or returns `None` if it accepts no requests.
    pub fn place_at(
        &mut self,
        key: ServerKey,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Option<Placement> {
        let state = self.servers.get(key)?;
        if !state.accepts_requests(now) || self.is_closed(key) || self.is_cold_limited(key, now) {
            return None;
        }
        Some(self.reserve_work(key, query, now))
    }

    /// Reserves a server even if it is leaving, for a generation whose memory it holds.
    pub fn reserve_leaving(
        &mut self,
        key: ServerKey,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Option<Placement> {
        self.servers.contains_key(key).then(|| self.reserve_work(key, query, now))
    }

    fn reserve_work(
        &mut self,
        key: ServerKey,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> Placement {
        if let Some(version_move) = self.version_moves.get_mut(query.service) {
            version_move.note_sent(version_move.role_of(&self.servers[key].record.version));
        }
        let cold_rate = self.cold_rate(query.service);
        let state = &mut self.servers[key];
        if cold_rate > 0.0 && state.is_cold(now) {
            state.cold_limiter.take(cold_rate, now);
        }
        let is_near = query.preferred_zone == Some(state.record.zone.as_str());
        self.note_retest(key, query, now);
        if let Some(prefix) = query.shared_prefix {
            self.remember_prefix(key, prefix, now);
        }
        // A moved generation needs no prompt processing, but its memory has to be transferred.
        let is_new = query.moved_tokens == 0;
        let load = ServerLoad {
            requests: 1,
            tokens: query.demand.reserved_tokens(),
            copy_tokens: 0,
            pending_prompt_tokens: if is_new { query.demand.prompt_tokens } else { 0 },
            arriving_tokens: query.moved_tokens * copy_factor(is_near),
        };
        self.reserve(key, load, now)
    }

    fn reserve(&mut self, key: ServerKey, load: ServerLoad, now: MonoTime) -> Placement {
        let state = &mut self.servers[key];
        let seen = state.total_load(now);
        state.own_load += load;
        Placement { server: key, id: state.id.clone(), address: state.record.address, seen, load }
    }

    fn remember_prefix(&mut self, key: ServerKey, prefix: PromptPart, now: MonoTime) {
        // The entry is missing only for a server that was forgotten.
        let Some(entry) = self.prefixes.entry(key) else { return };
        let prefixes = entry.or_default();
        prefixes.insert(prefix, now);
        if prefixes.len() <= PREFIXES_REMEMBERED {
            return;
        }
        if let Some(oldest) =
            prefixes.iter().min_by_key(|(_, used)| **used).map(|(prefix, _)| *prefix)
        {
            prefixes.remove(&oldest);
        }
    }

    /// Releases load on a server.
    pub fn release(&mut self, key: ServerKey, load: ServerLoad) {
        if let Some(state) = self.servers.get_mut(key) {
            state.own_load -= load;
        }
    }

    /// Replaces some of the load on a server.
    pub fn replace_load(&mut self, key: ServerKey, old: ServerLoad, new: ServerLoad) {
        if let Some(state) = self.servers.get_mut(key) {
            state.own_load -= old;
            state.own_load += new;
        }
    }
}
