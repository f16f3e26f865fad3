//! Fixed steps with thresholds, the baseline of the version move experiment.

use dragonflycart_policy::{MoveCounts, MoveState};

use crate::{
    MovesCase, MovesOutcome, MovesTraffic,
    moves_case::{ROUTES, SPAN_S, VMS, WATCH_S},
    moves_conclusion::MovesConclusion,
    moves_traffic::TICK_S,
};

/// Share of the new version from a fraction of the time on.
const STEPS: [(f64, f64); 4] = [(0.75, 1.0), (0.5, 0.5), (0.25, 0.25), (0.0, 0.05)];

/// Time between two checks of the thresholds.
const CHECK_S: f64 = 30.0;

/// Requests below which a check does not judge.
const CHECK_REQUESTS: u64 = 20;

/// Failure rate above which the version is rolled back.
const FAILED_THRESHOLD: f64 = 0.05;

/// Rate of slow requests above which the version is rolled back.
const SLOW_THRESHOLD: f64 = 0.2;

/// Baseline: 5%, 25%, 50% and 100% at fixed times. Every 30 s the rates of the new version since
/// the last check are compared with fixed thresholds. It sees all evidence at once and acts on
/// all VMs at once, and checks on until the end of the watch.
#[derive(Debug, Default)]
pub struct MovesBaseline {
    window: MoveCounts,
    rolled_back: Option<f64>,
}

impl MovesBaseline {
    /// Runs the move and its watch.
    pub fn run(mut self, case: &MovesCase) -> MovesOutcome {
        let mut traffic = MovesTraffic::new(case.seed);
        let ticks = ((SPAN_S + WATCH_S) / TICK_S) as u64;
        for tick in 0..ticks {
            let now = tick as f64 * TICK_S;
            let shares = [[self.share(now); ROUTES]; VMS];
            let concluded = traffic.step(case, now, &shares);
            self.count(&concluded);
            if (now + TICK_S) % CHECK_S == 0.0 {
                self.check(now + TICK_S);
            }
        }
        let done = self.rolled_back.is_none_or(|time| time > SPAN_S);
        let state =
            if self.rolled_back.is_some() { MoveState::RolledBack } else { MoveState::Done };
        MovesOutcome {
            scenario: case.scenario.to_string(),
            policy: "fixed_steps".into(),
            seed: case.seed,
            state: state.to_string(),
            done_in_time: done && state == MoveState::Done,
            late: false,
            split: false,
            ended_s: self.rolled_back.unwrap_or(SPAN_S),
            new_requests: traffic.new_requests,
            bad_requests: traffic.bad_requests,
            reaction_s: None,
            clear_reaction_s: None,
            reason: String::new(),
        }
    }

    fn share(&self, now: f64) -> f64 {
        if self.rolled_back.is_some() {
            return 0.0;
        }
        let step = STEPS.into_iter().find(|(from, _)| now >= from * SPAN_S);
        step.map_or(0.0, |(_, share)| share)
    }

    fn count(&mut self, concluded: &[MovesConclusion]) {
        for conclusion in concluded.iter().filter(|conclusion| conclusion.side == 1) {
            self.window = self.window.plus(conclusion.counts);
        }
    }

    fn check(&mut self, now: f64) {
        let requests = self.window.total();
        if requests < CHECK_REQUESTS {
            return;
        }
        let failed = self.window.failed as f64 / requests as f64;
        let slow = self.window.slow as f64 / requests as f64;
        if failed > FAILED_THRESHOLD || slow > SLOW_THRESHOLD {
            self.rolled_back.get_or_insert(now);
        }
        self.window = MoveCounts::default();
    }
}
