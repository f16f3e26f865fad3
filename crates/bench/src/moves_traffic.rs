//! Traffic of the version move experiment on virtual time.

use std::collections::VecDeque;

use dragonflycart_policy::MoveCounts;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    moves_case::{MovesCase, ROUTES, VMS},
    moves_conclusion::MovesConclusion,
};

/// Length of one step of virtual time.
pub const TICK_S: f64 = 0.25;

/// Latency objective; a request that is open for longer counts as slow.
const OBJECTIVE_S: f64 = 4.0;

/// Traffic of one run: draws requests, their versions and their outcomes, and delays each outcome
/// until the request concludes.
#[derive(Debug)]
pub struct MovesTraffic {
    rng: ChaCha8Rng,
    pending: VecDeque<Vec<MovesConclusion>>,
    /// Requests sent to the new version.
    pub new_requests: u64,
    /// Requests sent to the new version while it was bad for them.
    pub bad_requests: u64,
    /// Time of the last request that each VM sent to the new version.
    pub last_new: [f64; VMS],
}

impl MovesTraffic {
    /// Creates the traffic of a run.
    pub fn new(seed: u64) -> MovesTraffic {
        let ticks = (OBJECTIVE_S / TICK_S) as usize + 2;
        MovesTraffic {
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x7472_6166),
            pending: VecDeque::from(vec![Vec::new(); ticks]),
            new_requests: 0,
            bad_requests: 0,
            last_new: [f64::NEG_INFINITY; VMS],
        }
    }

    /// Runs one step at time `now` with the share per VM and route, and returns what concluded.
    pub fn step(
        &mut self,
        case: &MovesCase,
        now: f64,
        shares: &[[f64; ROUTES]; VMS],
    ) -> Vec<MovesConclusion> {
        let mut weighted = 0.0;
        for row in shares {
            for (route, share) in row.iter().enumerate() {
                weighted += share * case.route_rate(route);
            }
        }
        let overall = weighted / case.rate;
        for (vm, row) in shares.iter().enumerate() {
            for (route, share) in row.iter().enumerate() {
                for _ in 0..self.poisson(case.route_rate(route) * TICK_S) {
                    let side = usize::from(self.rng.random::<f64>() < *share);
                    let bad = side == 1 && case.is_bad(now, route, overall);
                    self.send(case, now, (vm, route, side), bad);
                }
            }
        }
        let concluded = self.pending.pop_front().unwrap_or_default();
        self.pending.push_back(Vec::new());
        concluded
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
            self.last_new[vm] = now;
        }
        let (failed, slow) = case.rates(now, vm, side, bad);
        let mut counts = MoveCounts::default();
        let latency = if self.rng.random::<f64>() < failed {
            counts.failed = 1;
            self.rng.random_range(0.05..1.5)
        } else if self.rng.random::<f64>() < slow {
            (counts.finished, counts.slow) = (1, 1);
            OBJECTIVE_S
        } else {
            counts.finished = 1;
            (-self.rng.random::<f64>().max(1e-9).ln()).clamp(0.1, OBJECTIVE_S)
        };
        let tick = (latency / TICK_S) as usize;
        self.pending[tick].push(MovesConclusion { vm, route, side, started: now, counts });
    }

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
