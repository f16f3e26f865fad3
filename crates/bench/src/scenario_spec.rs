//! Parameters of a simulation.

use dragonflycart_policy::PolicySettings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{EngineProfile, RouteProfile};

/// Number of output lengths that the capacity calculation draws to estimate their mean.
const CAPACITY_SAMPLES: usize = 20_000;
/// Share of the memory that the capacity calculation uses.
const USABLE_MEMORY_SHARE: f64 = 1.0;

/// Fault or change that happens at a set time.
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
    /// The next request makes every engine that runs it fail.
    Poison,
}

/// Parameters of a simulation. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct ScenarioSpec {
    /// Parameters of the engines, which are all alike.
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
    pub team_shares: Vec<f64>,
    /// Routes with their requests.
    pub routes: Vec<RouteProfile>,
    /// Settings of the scheduler. The policy, the number of VMs per zone and the seed are replaced.
    pub settings: PolicySettings,
    /// Load relative to the capacity, as pairs of a time and the value from then on.
    pub load: Vec<(f64, f64)>,
    /// Factor on the output lengths, as pairs of a time and the value from then on. The capacity is
    /// calculated for a factor of 1.
    pub length_scale: Vec<(f64, f64)>,
    /// Faults and the times at which they happen.
    pub faults: Vec<(f64, FaultKind)>,
    /// Time at which arrivals end.
    pub duration: f64,
    /// Time from the end of arrivals to the end of the run.
    pub drain: f64,
}

/// Returns the value of a step function at `now`. Before its first step the value is 1.
pub(crate) fn value_at(steps: &[(f64, f64)], now: f64) -> f64 {
    let mut current = 1.0;
    for (from, value) in steps {
        if *from <= now {
            current = *value;
        }
    }
    current
}

impl ScenarioSpec {
    /// Returns the requests per second that the engines can serve: the size of the batch that fits
    /// in the usable memory at the mean memory per request, divided by the time of a step and the
    /// mean output length. The time of a step includes the prefill of the requests that replace
    /// completed ones.
    pub fn capacity(&self) -> f64 {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let (mut total_output, mut total_prompt, mut memory_steps) = (0.0, 0.0, 0.0);
        for route in &self.routes {
            let samples = (CAPACITY_SAMPLES as f64 * route.share) as usize;
            for _ in 0..samples {
                let output = f64::from(route.draw_length(1.0, &mut rng));
                total_output += output;
                total_prompt += route.mean_prompt;
                memory_steps += output * (route.mean_prompt + output / 2.0);
            }
        }
        let mean_memory = memory_steps / total_output;
        let mean_output = total_output / CAPACITY_SAMPLES as f64;
        let mean_prompt = total_prompt / CAPACITY_SAMPLES as f64;
        let engine = &self.engine;
        let requests_in_memory = engine.memory_tokens as f64 * USABLE_MEMORY_SHARE / mean_memory;
        let batch = requests_in_memory.min(f64::from(engine.batch_limit));
        let step = engine.step_base
            + engine.step_request * batch
            + engine.step_memory * batch * mean_memory / 1_000.0
            + engine.step_prefill * mean_prompt * batch / mean_output;
        batch / step * 1_000.0 / mean_output * self.engines as f64
    }
}
