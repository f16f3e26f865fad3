//! How well a server suits a request.

use std::hash::{DefaultHasher, Hash, Hasher};

use dragonflycart_core::MonoTime;

use crate::{EngineSpec, PlacementQuery, ServerKey, ServerState};

/// Score of a full engine memory.
const FILL_WEIGHT: f64 = 0.4;
/// Prompt tokens ahead of a request that count as much as a full memory. They take about half of
/// a second to read.
const PENDING_PROMPT_TOKENS: f64 = 2_000.0;
/// Score added for a server in another zone, as a share of a full server.
const ZONE_PENALTY: f64 = 0.08;
/// The same where this VM's zone has many servers of the service. VMs of other zones tell theirs
/// late in a large fleet.
const LARGE_ZONE_PENALTY: f64 = 0.5;
/// Servers of a service in a zone from which the zone is large.
const LARGE_ZONE: usize = 24;
/// Score added for a server in another zone than the engine whose memory is copied as it grows.
const COPY_ZONE_PENALTY: f64 = 1.5;
/// Score added per second until a moved generation's memory has arrived. The time before an engine
/// leaves is short, and the copies from all engines that leave queue on the link of the target.
const ARRIVAL_PENALTY: f64 = 6.0;
/// Score taken off for a server that holds the shared part of the prompt.
const PREFIX_BONUS: f64 = 0.10;
/// Score added for a server whose requests all fail.
const FAILURE_PENALTY: f64 = 3.0;
/// Score added per response that was lost lately at the server, by any VM.
const LOSS_PENALTY: f64 = 0.6;
/// Lost responses that count at most.
const LOSSES_COUNTED: u32 = 5;
/// Score added per hundred milliseconds of average latency at plain servers.
const LATENCY_PENALTY: f64 = 0.5;
/// Largest random part of a score.
const SPREAD_WEIGHT: f64 = 0.4;

/// What the score of a server depends on, besides the request.
#[derive(Debug, Clone, Copy)]
pub struct ServerScore<'a> {
    /// Key of the server.
    pub key: ServerKey,
    /// Belief about the server.
    pub state: &'a ServerState,
    /// Capacity, if it is an engine.
    pub engine: Option<EngineSpec>,
    /// Whether it was sent the shared part of the prompt before.
    pub holds_prefix: bool,
    /// Zone of the VM that chooses.
    pub own_zone: &'a str,
    /// Servers of the service in that zone that take work.
    pub local_servers: usize,
}

impl ServerScore<'_> {
    /// Returns the score for a request; the server with the lowest one is chosen.
    pub fn value(&self, query: &PlacementQuery<'_>, now: MonoTime) -> f64 {
        let state = self.state;
        let slots = f64::from(state.record.slots.max(1));
        let mut score = f64::from(state.total_load(now).requests) / slots;
        score += match self.engine {
            Some(engine) => self.engine_score(engine, query, now),
            None => state.latency_ms().map_or(0.0, |ms| LATENCY_PENALTY * ms / 100.0),
        };
        score += self.zone_score(query);
        if let Some(seed) = query.spread_seed {
            score += SPREAD_WEIGHT * spread(seed, self.key);
        }
        if state.expired_at.is_some() {
            score += FAILURE_PENALTY;
        }
        score += LOSS_PENALTY * f64::from(state.losses.total(now).min(LOSSES_COUNTED));
        score + FAILURE_PENALTY * state.failure_share()
    }

    fn engine_score(&self, engine: EngineSpec, query: &PlacementQuery<'_>, now: MonoTime) -> f64 {
        let load = self.state.total_load(now);
        let fill = load.memory_tokens() as f64 / engine.memory_tokens.max(1) as f64;
        let mut score = FILL_WEIGHT * fill;
        // A generation that was moved is admitted before prompts that wait.
        if query.preferred_zone.is_none() {
            score += load.pending_prompt_tokens as f64 / PENDING_PROMPT_TOKENS;
        }
        if query.moved_tokens > 0 {
            let is_near = query.preferred_zone == Some(self.state.record.zone.as_str());
            let tokens = load.arriving_tokens + query.moved_tokens * copy_factor(is_near);
            score += ARRIVAL_PENALTY * engine.token_copy_time.as_secs_f64() * tokens as f64;
        }
        if self.holds_prefix {
            score -= PREFIX_BONUS;
        }
        score
    }

    fn zone_score(&self, query: &PlacementQuery<'_>) -> f64 {
        let zone = &self.state.record.zone;
        match query.preferred_zone {
            Some(near) if zone != near && query.moved_tokens == 0 => COPY_ZONE_PENALTY,
            None if zone == self.own_zone => 0.0,
            None if self.local_servers >= LARGE_ZONE => LARGE_ZONE_PENALTY,
            None => ZONE_PENALTY,
            _ => 0.0,
        }
    }
}

/// Returns how much longer a copy takes than one within a zone.
pub fn copy_factor(is_near: bool) -> u64 {
    if is_near { 1 } else { 2 }
}

/// Returns a number from 0 to 1 that depends on a seed and a server only.
fn spread(seed: u64, key: ServerKey) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, key).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
