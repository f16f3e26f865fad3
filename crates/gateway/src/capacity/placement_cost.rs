//! Cost of a request at a server whose capacity is learned.

use std::time::Duration;

use dragonflycart_capacity::{CapacityTable, RunningLoad, ServerOutlook};
use dragonflycart_explanation::ScorePart;

use crate::{
    EngineSpec, PlacementQuery, ServerKey, ServerLoad,
    explanation::ScoreSum,
    server_score::{FILL_WEIGHT, LONG_OUTPUT_TOKENS, PENDING_PROMPT_TOKENS, spread},
};

/// Cost from which a server is so unsuitable that more servers of other zones are considered.
pub(crate) const UNSUITABLE_COST: f64 = 2.0;
/// Cost of an engine at which the pauses of a long stream exceed their target in a slow phase. It
/// outweighs the cost of another zone and of an engine that is nearly full.
const PAUSE_COST: f64 = 2.5;
/// Maximum cost added for pauses that exceed their target by more. Among unsuitable engines, the
/// one with the fewest streams is chosen.
const EXCESS_COST: f64 = 3.0;
/// Cost per second until the first event. A full engine costs about 1.
const FIRST_EVENT_COST: f64 = 2.0;
/// Share of the latency target within which a short stream may wait for its first event without
/// cost. The rest is a reserve for requests that other VMs place at the same time.
const SHORT_TARGET_SHARE: f64 = 0.5;
/// The same for the cost of a long stream that may be late.
const LONG_TARGET_SHARE: f64 = 0.8;
/// Cost of a first event that comes later than that by a whole target.
const LATE_COST: f64 = 6.0;
/// Cost subtracted for a short stream on an infinitely slow engine, and in proportion on a faster
/// one, so that fast engines keep room for long streams. It applies in the VM's own zone, whose VMs
/// see each other's prompts at once; two prompts that meet on a slow engine are late. On an engine
/// of less than half the usual speed, it outweighs slots and memory in use until the engine is
/// nearly full.
const KEEP_FREE_COST: f64 = 1.2;
/// Cost of a slot in use at a plain server, for all slots together.
const SLOTS_COST: f64 = 0.25;
/// Maximum random cost of a plain server. Many VMs choose at the same time and see each other's
/// calls late.
const CALL_SPREAD: f64 = 0.15;
/// Cost of a server that lately refused a request at this number of requests.
const REFUSAL_COST: f64 = 1.0;
/// Cost subtracted for an avoided server that is to be measured again.
const RETEST_BONUS: f64 = 4.0;

/// Inputs of the cost of a request at one server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementCost<'a> {
    /// Learned capacity of the service's servers.
    pub(crate) table: &'a CapacityTable<ServerKey>,
    /// What is expected of the server.
    pub(crate) outlook: ServerOutlook,
    /// Key of the server.
    pub(crate) key: ServerKey,
    /// Load of the server.
    pub(crate) load: ServerLoad,
    /// Number of requests that the server runs at the same time.
    pub(crate) slots: u32,
    /// Specification, if it is an engine.
    pub(crate) engine: Option<EngineSpec>,
    /// Whether the server is in the zone of this VM.
    pub(crate) is_near: bool,
    /// Whether the server is to be measured again.
    pub(crate) is_retest: bool,
}

impl PlacementCost<'_> {
    /// Returns whether learned capacity applies to a request. Targets of moves and of backup copies
    /// are chosen by the time until the memory arrives.
    pub(crate) fn applies_to(query: &PlacementQuery<'_>) -> bool {
        query.preferred_zone.is_none() && query.moved_tokens == 0
    }

    /// Returns the cost of a request.
    pub(crate) fn sum<S: ScoreSum>(&self, query: &PlacementQuery<'_>) -> S {
        let mut cost: S = match self.engine {
            Some(engine) => self.stream_cost(engine, query),
            None => self.call_cost(query),
        };
        if self.outlook.takes_well.is_some_and(|limit| self.load.requests >= limit) {
            cost.add(ScorePart::Use, REFUSAL_COST);
        }
        if self.is_retest {
            cost.add(ScorePart::Speed, -RETEST_BONUS);
        }
        cost
    }

    /// Returns the expected time of a call as a multiple of the service's usual one, with calls that
    /// wait for a slot.
    fn call_cost<S: ScoreSum>(&self, query: &PlacementQuery<'_>) -> S {
        let slots = f64::from(self.slots.max(1));
        let requests = f64::from(self.load.requests);
        let rounds = ((requests + 1.0) / slots).max(1.0);
        let mut cost = S::default();
        cost.add_product((ScorePart::Use, rounds), (ScorePart::Speed, self.outlook.slowness()));
        cost.add(ScorePart::Use, SLOTS_COST * requests / slots);
        cost.add(ScorePart::Random, CALL_SPREAD * spread(query.sample_seed, self.key));
        cost
    }

    fn stream_cost<S: ScoreSum>(&self, engine: EngineSpec, query: &PlacementQuery<'_>) -> S {
        let is_long = query.demand.output_tokens >= LONG_OUTPUT_TOKENS;
        let fill = self.load.memory_tokens() as f64 / engine.memory_tokens.max(1) as f64;
        let usage = f64::from(self.load.requests) / f64::from(self.slots.max(1));
        let mut cost = S::default();
        cost.add(ScorePart::Memory, FILL_WEIGHT * fill);
        cost.add(ScorePart::Use, usage);
        cost.add(ScorePart::FirstEvent, self.first_event_cost(is_long, query));
        let slack = (1.0 - self.outlook.speed).clamp(-1.0, 1.0);
        if is_long {
            cost.add(ScorePart::Pauses, self.pause_cost(query));
        } else if slack < 0.0 || self.is_near {
            cost.add(ScorePart::Speed, -(KEEP_FREE_COST * slack));
        }
        cost
    }

    fn first_event_cost(&self, is_long: bool, query: &PlacementQuery<'_>) -> f64 {
        let prompt = query.demand.prompt_tokens;
        let Some(time) = self.table.first_event_by(&self.outlook, self.work(), prompt) else {
            return self.load.pending_prompt_tokens as f64 / PENDING_PROMPT_TOKENS;
        };
        let target_s = query.latency_target.max(Duration::from_millis(1)).as_secs_f64();
        let target_share = time.as_secs_f64() / target_s;
        let (free_share, time_cost) = if is_long {
            (LONG_TARGET_SHARE, FIRST_EVENT_COST * time.as_secs_f64())
        } else {
            (SHORT_TARGET_SHARE, SHORT_TARGET_SHARE * target_share.min(SHORT_TARGET_SHARE))
        };
        time_cost + LATE_COST * (target_share - free_share).max(0.0)
    }

    fn pause_cost(&self, query: &PlacementQuery<'_>) -> f64 {
        let Some(target) = query.pause_target.filter(|target| !target.is_zero()) else {
            return 0.0;
        };
        let load = RunningLoad { requests: self.load.requests + 1, ..self.work() };
        let Some(pause) = self.table.slow_phase_pause(&self.outlook, load) else { return 0.0 };
        let excess = pause.as_secs_f64() / target.as_secs_f64() - 1.0;
        if excess > 0.0 { PAUSE_COST + excess.min(EXCESS_COST) } else { 0.0 }
    }

    fn work(&self) -> RunningLoad {
        RunningLoad { requests: self.load.requests, unread_tokens: self.load.pending_prompt_tokens }
    }
}
