//! Traffic of the version move experiment on virtual time.

use std::collections::VecDeque;

use dragonflycart_policy::MoveCounts;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    moves_case::{MovesCase, ROUTES, VMS},
    moves_completion::MovesCompletion,
};

/// Length of one step of virtual time.
pub const TICK_S: f64 = 0.25;

/// Latency objective. A slow request completes when it has been open for this long.
const LATENCY_OBJECTIVE_S: f64 = 4.0;

/// Traffic of one run: draws requests, their versions and their outcomes, and reports each outcome
/// when the request completes.
#[derive(Debug)]
pub struct MovesTraffic {
    rng: ChaCha8Rng,
    /// Requests in flight by the step of their completion, the next step first.
    pending: VecDeque<Vec<MovesCompletion>>,
    /// Requests sent to the new version.
    pub new_requests: u64,
    /// Requests sent to the new version that it was bad for.
    pub bad_requests: u64,
    /// Time of the last request that each VM sent to the new version.
    pub last_new_at: [f64; VMS],
}

impl MovesTraffic {
    /// Creates the traffic of a run.
    pub fn new(seed: u64) -> MovesTraffic {
        let ticks = (LATENCY_OBJECTIVE_S / TICK_S) as usize + 2;
        MovesTraffic {
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x7472_6166),
            pending: VecDeque::from(vec![Vec::new(); ticks]),
            new_requests: 0,
            bad_requests: 0,
            last_new_at: [f64::NEG_INFINITY; VMS],
        }
    }

    /// Runs one step at time `now` with the share of the new version per VM and route. Returns the
    /// requests that completed.
    pub fn step(
        &mut self,
        case: &MovesCase,
        now: f64,
        shares: &[[f64; ROUTES]; VMS],
    ) -> Vec<MovesCompletion> {
        let mut new_rate = 0.0;
        for row in shares {
            for (route, share) in row.iter().enumerate() {
                new_rate += share * case.route_rate(route);
            }
        }
        let new_share = new_rate / case.rate;
        for (vm, row) in shares.iter().enumerate() {
            for (route, share) in row.iter().enumerate() {
                for _ in 0..self.poisson(case.route_rate(route) * TICK_S) {
                    let side = usize::from(self.rng.random::<f64>() < *share);
                    let bad = side == 1 && case.is_bad(now, route, new_share);
                    self.send(case, now, (vm, route, side), bad);
                }
            }
        }
        let completed = self.pending.pop_front().unwrap_or_default();
        self.pending.push_back(Vec::new());
        completed
    }

    fn send(
        &mut self,
        case: &MovesCase,
        now: f64,
        (vm, route, side): (usize, usize, usize),
        bad: bool,
    ) {
        if side == 1 {
            self.new_requests += 1;
            self.bad_requests += u64::from(bad);
            self.last_new_at[vm] = now;
        }
        let (failed, slow) = case.rates(now, vm, side, bad);
        let mut counts = MoveCounts::default();
        let latency = if self.rng.random::<f64>() < failed {
            counts.failed = 1;
            self.rng.random_range(0.05..1.5)
        } else if self.rng.random::<f64>() < slow {
            (counts.finished, counts.slow) = (1, 1);
            LATENCY_OBJECTIVE_S
        } else {
            counts.finished = 1;
            (-self.rng.random::<f64>().max(1e-9).ln()).clamp(0.1, LATENCY_OBJECTIVE_S)
        };
        let tick = (latency / TICK_S) as usize;
        self.pending[tick].push(MovesCompletion { vm, route, side, started: now, counts });
    }

    /// Draws from a Poisson distribution.
    fn poisson(&mut self, mean: f64) -> u32 {
        let limit = (-mean).exp();
        let (mut count, mut product) = (0, self.rng.random::<f64>());
        while product > limit {
            count += 1;
            product *= self.rng.random::<f64>();
        }
        count
    }
}
