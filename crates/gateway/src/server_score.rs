//! Score by which the server for a request is chosen.

use std::hash::{DefaultHasher, Hash, Hasher};

use dragonflycart_capacity::{CapacityTable, ServerOutlook};
use dragonflycart_core::MonoTime;
use dragonflycart_explanation::ScorePart;

use crate::{
    EngineSpec, PlacementQuery, ScoreParts, ServerKey, ServerState, capacity::PlacementCost,
    explanation::ScoreSum,
};

/// Score added for a full engine memory.
pub(crate) const FILL_WEIGHT: f64 = 0.4;
/// Number of pending prompt tokens that add a score of 1. An engine processes them in about half a
/// second.
pub(crate) const PENDING_PROMPT_TOKENS: f64 = 2_000.0;
/// Score added for a server in another zone. A server with all its slots in use has a score of 1.
const ZONE_PENALTY: f64 = 0.08;
/// The same for a long generation, which a partition of the zones would break off, and whose events
/// all cross the zones.
const LONG_ZONE_PENALTY: f64 = 0.4;
/// Expected output, in tokens, from which a generation is long.
pub(crate) const LONG_OUTPUT_TOKENS: u64 = 120;
/// Score added for a backup engine in another zone than the engine that it backs up.
const COPY_ZONE_PENALTY: f64 = 1.5;
/// Score added per second of copying until a moved generation's memory has arrived. Time is short
/// before an engine shuts down, and copies from all leaving engines queue on the target's network
/// link.
const ARRIVAL_PENALTY: f64 = 6.0;
/// Score subtracted for a server that probably has the shared prompt prefix in its cache.
const PREFIX_BONUS: f64 = 0.10;
/// Score added for a server whose requests all fail, or whose registration expired.
const FAILURE_PENALTY: f64 = 3.0;
/// Score added per response of the server that any VM recently lost.
const LOSS_PENALTY: f64 = 0.6;
/// Maximum number of lost responses that count.
const LOSSES_COUNTED: u32 = 5;
/// Score added per 100 ms of average latency, for servers of plain services.
const LATENCY_PENALTY: f64 = 0.5;
/// Maximum random component of a score.
const SPREAD_WEIGHT: f64 = 0.4;

/// Inputs of a server's score, except for the request.
#[derive(Debug, Clone, Copy)]
pub struct ServerScore<'a> {
    /// Key of the server.
    pub key: ServerKey,
    /// State of the server.
    pub state: &'a ServerState,
    /// Specification, if it is an engine.
    pub engine: Option<EngineSpec>,
    /// Whether a prompt with the same shared prefix was sent to it before.
    pub holds_prefix: bool,
    /// Zone of this VM.
    pub own_zone: &'a str,
    /// Learned capacity of the service's servers and what is expected of this one, if that is used
    /// for the request.
    pub capacity: Option<(&'a CapacityTable<ServerKey>, ServerOutlook)>,
    /// Whether the server is to be measured again.
    pub is_retest: bool,
}

impl ServerScore<'_> {
    /// Returns the score for a request. The server with the lowest score is chosen.
    pub fn value(&self, query: &PlacementQuery<'_>, now: MonoTime) -> f64 {
        self.sum(query, now)
    }

    /// Returns the same score with its parts.
    pub fn parts(&self, query: &PlacementQuery<'_>, now: MonoTime) -> ScoreParts {
        self.sum(query, now)
    }

    fn sum<S: ScoreSum>(&self, query: &PlacementQuery<'_>, now: MonoTime) -> S {
        let state = self.state;
        let mut score: S = match self.capacity {
            Some(capacity) => self.learned_score(capacity, query, now),
            None => self.load_score(query, now),
        };
        score.add(ScorePart::Zone, self.zone_score(query));
        if let Some(seed) = query.spread_seed {
            score.add(ScorePart::Random, SPREAD_WEIGHT * spread(seed, self.key));
        }
        if state.expired_at.is_some() {
            score.add(ScorePart::Failures, FAILURE_PENALTY);
        }
        let losses = state.losses.total(now).min(LOSSES_COUNTED);
        score.add(ScorePart::Losses, LOSS_PENALTY * f64::from(losses));
        score.add(ScorePart::Failures, FAILURE_PENALTY * state.failure_share());
        score
    }

    fn load_score<S: ScoreSum>(&self, query: &PlacementQuery<'_>, now: MonoTime) -> S {
        let slots = f64::from(self.state.record.slots.max(1));
        let mut score = S::default();
        score.add(ScorePart::Use, f64::from(self.state.total_load(now).requests) / slots);
        match self.engine {
            Some(engine) => score.merge(self.engine_score(engine, query, now)),
            None => {
                let latency =
                    self.state.latency_ms().map_or(0.0, |ms| LATENCY_PENALTY * ms / 100.0);
                score.add(ScorePart::Speed, latency);
            }
        }
        score
    }

    fn learned_score<S: ScoreSum>(
        &self,
        (table, outlook): (&CapacityTable<ServerKey>, ServerOutlook),
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> S {
        let cost = PlacementCost {
            table,
            outlook,
            key: self.key,
            load: self.state.total_load(now),
            slots: self.state.record.slots,
            engine: self.engine,
            is_near: self.state.record.zone == self.own_zone,
            is_retest: self.is_retest,
        };
        let mut score: S = cost.sum(query);
        let bonus = if self.holds_prefix { PREFIX_BONUS } else { 0.0 };
        score.add(ScorePart::Prefix, -bonus);
        score
    }

    fn engine_score<S: ScoreSum>(
        &self,
        engine: EngineSpec,
        query: &PlacementQuery<'_>,
        now: MonoTime,
    ) -> S {
        let load = self.state.total_load(now);
        let fill = load.memory_tokens() as f64 / engine.memory_tokens.max(1) as f64;
        let mut score = S::default();
        score.add(ScorePart::Memory, FILL_WEIGHT * fill);
        // An engine admits a moved generation before waiting prompts.
        if query.preferred_zone.is_none() {
            let pending = load.pending_prompt_tokens as f64 / PENDING_PROMPT_TOKENS;
            score.add(ScorePart::FirstEvent, pending);
        }
        if query.moved_tokens > 0 {
            let is_near = query.preferred_zone == Some(self.state.record.zone.as_str());
            let tokens = load.arriving_tokens + query.moved_tokens * copy_factor(is_near);
            let time_s = engine.token_copy_time.as_secs_f64();
            score.add(ScorePart::Arrival, ARRIVAL_PENALTY * time_s * tokens as f64);
        }
        if self.holds_prefix {
            score.add(ScorePart::Prefix, -PREFIX_BONUS);
        }
        score
    }

    fn zone_score(&self, query: &PlacementQuery<'_>) -> f64 {
        let zone = &self.state.record.zone;
        match query.preferred_zone {
            Some(near) if zone != near && query.moved_tokens == 0 => COPY_ZONE_PENALTY,
            None if zone == self.own_zone => 0.0,
            None if query.demand.output_tokens >= LONG_OUTPUT_TOKENS => LONG_ZONE_PENALTY,
            None => ZONE_PENALTY,
            _ => 0.0,
        }
    }
}

/// Returns the duration of a copy relative to one within a zone.
pub fn copy_factor(is_near: bool) -> u64 {
    if is_near { 1 } else { 2 }
}

/// Returns a pseudorandom number from 0 to 1 that is determined by a seed and a server.
pub fn spread(seed: u64, key: ServerKey) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, key).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64
}
