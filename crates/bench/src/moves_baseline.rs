//! Baseline of the version move experiment: a fixed schedule with thresholds.

use dragonflycart_policy::{MoveCounts, MoveState};

use crate::{
    MovesCase, MovesOutcome, MovesTraffic,
    moves_case::{MOVE_DURATION_S, ROUTES, VMS, WATCH_S},
    moves_completion::MovesCompletion,
    moves_traffic::TICK_S,
};

/// Fractions of the move's duration from which a share of the new version applies, latest first.
const SHARE_STEPS: [(f64, f64); 4] = [(0.75, 1.0), (0.5, 0.5), (0.25, 0.25), (0.0, 0.05)];

/// Time between two checks of the thresholds.
const CHECK_INTERVAL_S: f64 = 30.0;

/// Requests to the new version that a check needs. With fewer, it waits for the next check.
const MIN_CHECKED_REQUESTS: u64 = 20;

/// Failure rate above which the move is rolled back.
const FAILED_THRESHOLD: f64 = 0.05;

/// Rate of slow requests above which the move is rolled back.
const SLOW_THRESHOLD: f64 = 0.2;

/// Baseline that sends 5%, 25%, 50% and 100% of the traffic to the new version at fixed times.
///
/// Every 30 s it compares the rates of the new version since the last check with fixed thresholds,
/// until the end of the watch. Unlike the policy, it sees the outcomes of all VMs without delay and
/// acts on all VMs at the same time.
#[derive(Debug, Default)]
pub struct MovesBaseline {
    /// Requests to the new version since the last check.
    window: MoveCounts,
    /// Time of the rollback.
    rolled_back_at: Option<f64>,
}

impl MovesBaseline {
    /// Runs the move and the watch after it.
    pub fn run(mut self, case: &MovesCase) -> MovesOutcome {
        let mut traffic = MovesTraffic::new(case.seed);
        let ticks = ((MOVE_DURATION_S + WATCH_S) / TICK_S) as u64;
        for tick in 0..ticks {
            let now = tick as f64 * TICK_S;
            let shares = [[self.share(now); ROUTES]; VMS];
            let completed = traffic.step(case, now, &shares);
            self.count_completed(&completed);
            if (now + TICK_S) % CHECK_INTERVAL_S == 0.0 {
                self.check(now + TICK_S);
            }
        }
        let done = self.rolled_back_at.is_none_or(|time| time > MOVE_DURATION_S);
        let state =
            if self.rolled_back_at.is_some() { MoveState::RolledBack } else { MoveState::Done };
        MovesOutcome {
            scenario: case.scenario.to_string(),
            policy: "fixed_steps".into(),
            seed: case.seed,
            state: state.to_string(),
            done_in_time: done && state == MoveState::Done,
            late: false,
            split: false,
            ended_s: self.rolled_back_at.unwrap_or(MOVE_DURATION_S),
            new_requests: traffic.new_requests,
            bad_requests: traffic.bad_requests,
            reaction_s: None,
            clear_reaction_s: None,
            reason: String::new(),
        }
    }

    fn share(&self, now: f64) -> f64 {
        if self.rolled_back_at.is_some() {
            return 0.0;
        }
        let step = SHARE_STEPS.into_iter().find(|(from, _)| now >= from * MOVE_DURATION_S);
        step.map_or(0.0, |(_, share)| share)
    }

    fn count_completed(&mut self, completed: &[MovesCompletion]) {
        for completion in completed.iter().filter(|completion| completion.side == 1) {
            self.window = self.window.plus(completion.counts);
        }
    }

    fn check(&mut self, now: f64) {
        let requests = self.window.total();
        if requests < MIN_CHECKED_REQUESTS {
            return;
        }
        let failed = self.window.failed as f64 / requests as f64;
        let slow = self.window.slow as f64 / requests as f64;
        if failed > FAILED_THRESHOLD || slow > SLOW_THRESHOLD {
            self.rolled_back_at.get_or_insert(now);
        }
        self.window = MoveCounts::default();
    }
}
