//! What a simulation runs.

use dragonflycart_policy::PolicySettings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{EngineProfile, RouteProfile};

/// Draws from which the moments of the output length are computed.
const MOMENT_DRAWS: usize = 20_000;
/// Share of the memory that the capacity calculation uses.
const USABLE_MEMORY: f64 = 1.0;

/// Something that happens at a set time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// Operators take a zone out of service.
    ZoneOut(usize),
    /// Operators return a zone to service.
    ZoneIn(usize),
    /// An engine becomes cold without a restart.
    TurnCold(usize),
    /// An engine's process fails and is started again.
    Fail(usize),
    /// An engine stops updating its load report.
    Freeze(usize),
    /// The next request makes every engine fail that runs it.
    Poison,
}

/// What a simulation runs. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct ScenarioSpec {
    /// Engines, all alike.
    pub engine: EngineProfile,
    /// Number of engines; engine `e` is in zone `e % zones`.
    pub engines: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of entry VMs; VM `v` is in zone `v % zones`.
    pub vms: usize,
    /// One-way latency between a VM and an engine.
    pub latency: f64,
    /// Share of the requests per team.
    pub teams: Vec<f64>,
    /// Kinds of requests.
    pub routes: Vec<RouteProfile>,
    /// Settings of the placement; the policy name is replaced.
    pub settings: PolicySettings,
    /// Load relative to the capacity: each value holds from its time on.
    pub load: Vec<(f64, f64)>,
    /// Scale of the output lengths: each value holds from its time on. The capacity is that of
    /// scale 1.
    pub length_scale: Vec<(f64, f64)>,
    /// Faults by time.
    pub faults: Vec<(f64, FaultKind)>,
    /// Time at which arrivals end.
    pub duration: f64,
    /// Time after the end of arrivals at which the run ends.
    pub drain: f64,
}

/// Returns the value that holds at `now`.
pub(crate) fn value_at(values: &[(f64, f64)], now: f64) -> f64 {
    let mut current = 1.0;
    for (from, value) in values {
        if *from <= now {
            current = *value;
        }
    }
    current
}

impl ScenarioSpec {
    /// Returns the requests per second that the engines can serve: the batch that fits into the
    /// usable memory at the mean memory per request, divided by the time of a step, which
    /// includes the prompts of the requests that take the place of ended ones.
    pub fn capacity(&self) -> f64 {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let (mut length, mut prompt, mut held) = (0.0, 0.0, 0.0);
        for route in &self.routes {
            let draws = (MOMENT_DRAWS as f64 * route.share) as usize;
            for _ in 0..draws {
                let drawn = f64::from(route.draw_length(1.0, &mut random));
                length += drawn;
                prompt += route.prompt;
                held += drawn * (route.prompt + drawn / 2.0);
            }
        }
        let held = held / length;
        let mean_length = length / MOMENT_DRAWS as f64;
        let mean_prompt = prompt / MOMENT_DRAWS as f64;
        let engine = &self.engine;
        let fitting = engine.memory_tokens as f64 * USABLE_MEMORY / held;
        let batch = fitting.min(f64::from(engine.batch_limit));
        let step = engine.step_base
            + engine.step_request * batch
            + engine.step_memory * batch * held / 1_000.0
            + engine.step_prefill * mean_prompt * batch / mean_length;
        batch / step * 1_000.0 / mean_length * self.engines as f64
    }
}
