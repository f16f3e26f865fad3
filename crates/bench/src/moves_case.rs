//! Parameters of one run of the version move experiment.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{MovesScenario, moves_rates::MovesRates};

/// Number of entry VMs, two in each of three availability zones.
pub const VMS: usize = 6;

/// Number of routes.
pub const ROUTES: usize = 4;

/// Time from the start of a move to its deadline.
pub const MOVE_DURATION_S: f64 = 1_200.0;

/// Time for which the old version stays loaded after the deadline.
pub const WATCH_S: f64 = 600.0;

/// Fraction of the traffic that each route gets.
const ROUTE_FRACTIONS: [f64; ROUTES] = [0.55, 0.26, 0.15, 0.04];

/// Parameters of one run, drawn from its seed. Times are in seconds since the start of the move.
#[derive(Debug, Clone)]
pub struct MovesCase {
    /// Scenario.
    pub scenario: MovesScenario,
    /// Seed of the run.
    pub seed: u64,
    /// Requests per second over all VMs and routes.
    pub rate: f64,
    /// Times between which zone 0 is cut off from the others.
    pub partition: Option<(f64, f64)>,
    /// Times between which the log service is down.
    pub log_outage: Option<(f64, f64)>,
    /// Rates of the old version.
    old: MovesRates,
    /// Rates of the new version while it is good.
    good: MovesRates,
    /// Rates of the new version while it is bad.
    bad: MovesRates,
    /// Time from which the new version is bad.
    bad_from: f64,
    /// Share of the traffic from which the new version is bad.
    bad_share: f64,
    /// The only route for which the new version is bad.
    bad_route: Option<usize>,
    /// Platform faults: start, end, probability that one makes a request fail or slow, and zone if
    /// it hits only one.
    faults: Vec<(f64, f64, f64, Option<usize>)>,
}

impl MovesCase {
    /// Draws the parameters of a run.
    pub fn draw(scenario: MovesScenario, seed: u64) -> MovesCase {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let old = MovesRates {
            failed: log_range(&mut rng, 0.0005, 0.01),
            slow: 0.01 + 0.04 * rng.random::<f64>(),
        };
        let good = MovesRates {
            failed: old.failed * rng.random_range(0.8..1.2),
            slow: old.slow * rng.random_range(0.8..1.2),
        };
        let mut case = MovesCase {
            scenario,
            seed,
            rate: log_range(&mut rng, 20.0, 80.0),
            partition: None,
            log_outage: None,
            old,
            good,
            bad: good,
            bad_from: f64::INFINITY,
            bad_share: 0.0,
            bad_route: None,
            faults: Vec::new(),
        };
        case.draw_scenario(&mut rng);
        case
    }

    fn draw_scenario(&mut self, rng: &mut ChaCha8Rng) {
        let failure_rate = rng.random_range(0.06..0.6);
        let later_onset = MOVE_DURATION_S * rng.random_range(0.1..1.3);
        let mut partition = || {
            let from = MOVE_DURATION_S * rng.random_range(0.2..0.7);
            Some((from, from + rng.random_range(60.0..300.0)))
        };
        match self.scenario {
            MovesScenario::Good => {}
            MovesScenario::BadAtOnce => self.turn_bad(0.0, failure_rate),
            MovesScenario::BadLater => self.turn_bad(later_onset, failure_rate),
            MovesScenario::BadUnderLoad => {
                self.turn_bad(0.0, failure_rate.max(0.1));
                self.bad_share = rng.random_range(0.55..0.9);
            }
            MovesScenario::BadRoute => {
                self.turn_bad(0.0, rng.random_range(0.2..0.8));
                self.bad_route = Some(rng.random_range(0..ROUTES));
            }
            MovesScenario::Slow => {
                self.bad_from = 0.0;
                self.bad.slow = rng.random_range(0.25..0.7);
            }
            MovesScenario::Unlucky => self.draw_faults(rng),
            MovesScenario::LittleTraffic => self.rate = 24.0 / MOVE_DURATION_S,
            MovesScenario::PartitionGood => self.partition = partition(),
            MovesScenario::PartitionBad => {
                self.partition = partition();
                let from = if rng.random_bool(0.5) { 0.0 } else { later_onset };
                self.turn_bad(from, failure_rate);
            }
            MovesScenario::LogDownGood => {
                self.log_outage = Some((MOVE_DURATION_S - 300.0, MOVE_DURATION_S + 300.0));
            }
            MovesScenario::LogDownBad => {
                self.log_outage = Some((MOVE_DURATION_S - 300.0, MOVE_DURATION_S + 300.0));
                self.turn_bad(later_onset, failure_rate);
            }
        }
    }

    fn turn_bad(&mut self, from: f64, failed: f64) {
        self.bad_from = from;
        self.bad.failed = failed;
    }

    fn draw_faults(&mut self, rng: &mut ChaCha8Rng) {
        for _ in 0..rng.random_range(1..=3) {
            let from = MOVE_DURATION_S * rng.random_range(0.0..1.2);
            let until = from + rng.random_range(20.0..120.0);
            let zone = rng.random_bool(0.5).then(|| rng.random_range(0..3));
            self.faults.push((from, until, rng.random_range(0.1..0.5), zone));
        }
    }

    /// Returns the request rate of one route on one VM.
    pub fn route_rate(&self, route: usize) -> f64 {
        self.rate * ROUTE_FRACTIONS[route] / VMS as f64
    }

    /// Returns the availability zone of a VM.
    pub fn zone(vm: usize) -> usize {
        vm / 2
    }

    /// Returns whether two VMs can exchange messages.
    pub fn connected(&self, now: f64, a: usize, b: usize) -> bool {
        let cut = self.partition.is_some_and(|(from, until)| now >= from && now < until);
        !cut || (MovesCase::zone(a) == 0) == (MovesCase::zone(b) == 0)
    }

    /// Returns whether the log service is reachable.
    pub fn log_is_up(&self, now: f64) -> bool {
        !self.log_outage.is_some_and(|(from, until)| now >= from && now < until)
    }

    /// Returns whether the new version is bad for a request on `route` while it gets `share` of all
    /// traffic.
    pub fn is_bad(&self, now: f64, route: usize, share: f64) -> bool {
        now >= self.bad_from
            && share >= self.bad_share
            && self.bad_route.is_none_or(|bad_route| bad_route == route)
    }

    /// Returns the probability that a request fails, and the probability that it is slow if it does
    /// not fail.
    pub fn rates(&self, now: f64, vm: usize, side: usize, bad: bool) -> (f64, f64) {
        let rates = match (side, bad) {
            (0, _) => self.old,
            (_, false) => self.good,
            (_, true) => self.bad,
        };
        let (mut failed, mut slow) = (rates.failed, rates.slow);
        for (from, until, extra, zone) in &self.faults {
            if now < *from || now >= *until || zone.is_some_and(|zone| zone != MovesCase::zone(vm))
            {
                continue;
            }
            failed += (1.0 - failed) * extra;
            slow += (1.0 - slow) * extra;
        }
        (failed, slow)
    }
}

/// Draws a value between `low` and `high` whose logarithm is uniformly distributed.
fn log_range(rng: &mut ChaCha8Rng, low: f64, high: f64) -> f64 {
    (low.ln() + (high / low).ln() * rng.random::<f64>()).exp()
}
