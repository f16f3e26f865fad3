//! State machine of one version move on one VM.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::{RouteName, VersionMove, WallTime};

use crate::{
    MoveAcceptanceTest, MoveDecision, MoveEvaluator, MoveEvidence, MoveMetric, MoveReason,
    MoveSettings, MoveShares, MoveState, MoveTimeline, move_timeline::FULL_SHARE,
};

/// Warm-up period of a new [`MoveControl`], in addition to the settle time and the latency
/// objective. Until it ends, no requests go to the new version and missing traffic does not cause a
/// rollback, because the request rates and the counters of other VMs may not have arrived yet.
const WARM_UP: Duration = Duration::from_secs(8);

/// Windows over which the request rate is measured. The higher rate is used.
const RATE_WINDOWS_S: [u64; 2] = [5, 30];

/// Lower bound for the request rate of a route, in requests per second.
const MIN_ROUTE_RATE: f64 = 1.0 / 30.0;

/// Lowest overall share of the new version at which its requests feed the acceptance tests.
const MIN_ACCEPTANCE_SHARE: f64 = 0.4;

/// Highest share of the new version while an alarm is active.
const ALARM_SHARE: f64 = 0.15;

/// Highest share of the new version after an alarm in a move that is already done. The version may
/// fail only above [`FULL_SHARE`]. At this share it fails again, and the old version still gets
/// requests to compare with.
const MAX_SHARE_AFTER_LATE_ALARM: f64 = 0.95;

/// Time for which an alarm stays active.
const ALARM_HOLD_S: u64 = 20;

/// Divisor that turns the duration of the move into the time for which the new version must have
/// had its full share without an alarm before the move is done.
const ALARM_FREE_DIVISOR: u32 = 10;

/// E-value against the new version at which its share stops growing.
const HOLD_E_VALUE: f64 = 20.0;

/// Fraction of [`FULL_SHARE`] that counts as the full share.
const FULL_SHARE_FRACTION: f64 = 0.97;

/// Time after the end of an alarm during which the share may not exceed the share at which the
/// alarm was raised.
const PROBATION_S: u64 = 60;

/// State machine of one version move on one VM.
///
/// Every VM runs its own. They converge because they exchange their request counters and merge the
/// states of the move by maximum (see [`MoveState`]).
#[derive(Debug, Clone)]
pub struct MoveControl {
    timeline: MoveTimeline,
    settings: MoveSettings,
    evaluator: MoveEvaluator,
    state: MoveState,
    created: WallTime,
    watch_until: WallTime,
    alarm_active: bool,
    last_share: f64,
    /// Share at which the last alarm was raised. While it is set, the share may not exceed it.
    share_at_alarm: Option<f64>,
    /// Time at the full share since the acceptance tests were last reset.
    time_at_full_share: Duration,
    last_tick: WallTime,
}

impl MoveControl {
    /// Creates the state machine of a move at time `now`.
    pub fn new(plan: &VersionMove, settings: MoveSettings, now: WallTime) -> MoveControl {
        let timeline = MoveTimeline::new(plan);
        let horizon = timeline.span() + settings.watch;
        MoveControl {
            timeline,
            evaluator: MoveEvaluator::new(settings.clone(), plan.start, horizon),
            state: MoveState::Running,
            created: now,
            watch_until: plan.deadline.after(settings.watch),
            alarm_active: false,
            last_share: 0.0,
            share_at_alarm: None,
            time_at_full_share: Duration::ZERO,
            last_tick: now,
            settings,
        }
    }

    /// Returns the evaluator of the new version.
    pub fn evaluator(&self) -> &MoveEvaluator {
        &self.evaluator
    }

    /// Decides what to do now, from the counters merged so far and from `peer_state`, the state
    /// that other VMs reported.
    pub fn tick(
        &mut self,
        now: WallTime,
        evidence: &mut MoveEvidence,
        peer_state: MoveState,
    ) -> MoveDecision {
        let before = self.state;
        self.state = self.state.merge(peer_state);
        let mut transition_reason = (self.state > before).then_some(MoveReason::Peer);
        self.evaluator.absorb(evidence, now);
        if let Some((state, reason)) = self.transition(now) {
            self.state = state;
            transition_reason = Some(reason);
        }
        let shares = self.shares(now, evidence);
        let may_unload = self.state == MoveState::RolledBack || now >= self.watch_until;
        MoveDecision { state: self.state, transition_reason, shares, may_unload }
    }

    /// Drops counters that are older than the retention time.
    pub fn forget_old(&mut self, now: WallTime, evidence: &mut MoveEvidence) {
        let now_s = now.as_unix_millis() / 1_000;
        let first_s = now_s.saturating_sub(self.settings.retention.as_secs());
        evidence.forget_before(first_s);
        self.evaluator.forget_before(first_s);
    }

    fn transition(&self, now: WallTime) -> Option<(MoveState, MoveReason)> {
        if self.state == MoveState::RolledBack {
            return None;
        }
        if let Some(reason) = self.evaluator.rejection() {
            return Some((MoveState::RolledBack, reason));
        }
        if self.state == MoveState::Done || !self.timeline.may_finish(now) {
            return None;
        }
        let reason = match self.acceptance() {
            Ok(reason) if !self.is_inconclusive() => return Some((MoveState::Done, reason)),
            Ok(_) => MoveReason::Inconclusive { e_value: self.evaluator.e_value() },
            Err(reason) => reason,
        };
        let over = self.timeline.is_over(now)
            || (self.is_warmed_up(now) && self.timeline.must_decide(now));
        over.then_some((MoveState::RolledBack, reason))
    }

    fn is_warmed_up(&self, now: WallTime) -> bool {
        now >= self.created.after(WARM_UP + self.settings.settle + self.settings.objective)
    }

    /// Returns the reason to accept the new version, or the first requirement that is not met.
    fn acceptance(&self) -> Result<MoveReason, MoveReason> {
        let mut total = 0;
        let mut skipped_routes = Vec::new();
        for (route, comparison) in self.evaluator.routes() {
            let [old, new] = comparison.totals();
            total += new.total();
            if old.total() + new.total() <= self.settings.min_route_requests {
                skipped_routes.push(route.clone());
                continue;
            }
            for metric in MoveMetric::ALL {
                self.check_acceptance(Some(route), metric, comparison.acceptance_test(metric))?;
            }
        }
        let needed = self.settings.min_route_requests;
        if total < needed || skipped_routes.len() == self.evaluator.routes().len() {
            return Err(MoveReason::TooLittleTraffic { requests: total, needed });
        }
        for metric in MoveMetric::ALL {
            self.check_acceptance(None, metric, self.evaluator.acceptance_test(metric))?;
        }
        Ok(MoveReason::Accepted { requests: total, skipped_routes })
    }

    fn check_acceptance(
        &self,
        route: Option<&RouteName>,
        metric: MoveMetric,
        test: &MoveAcceptanceTest,
    ) -> Result<(), MoveReason> {
        if test.e_value() >= self.evaluator.acceptance_threshold() {
            return Ok(());
        }
        let (requests, e_value) = (test.requests(), test.e_value());
        Err(MoveReason::NotAccepted { route: route.cloned(), metric, requests, e_value })
    }

    /// Returns whether the new version has not had its full share without an alarm for long enough,
    /// or the e-value against it is high.
    fn is_inconclusive(&self) -> bool {
        let alarm_free = self.timeline.span() / ALARM_FREE_DIVISOR;
        self.alarm_active
            || self.time_at_full_share < alarm_free
            || self.evaluator.e_value() >= HOLD_E_VALUE
    }

    fn is_alarmed(&self, now: WallTime, hold_s: u64) -> bool {
        let now_s = self.evaluator.settled_s(now);
        self.evaluator.last_alarm_s().is_some_and(|alarm_s| now_s < alarm_s + hold_s)
    }

    fn shares(&mut self, now: WallTime, evidence: &MoveEvidence) -> MoveShares {
        self.update_alarm(now);
        let limit =
            if self.alarm_active { ALARM_SHARE } else { self.share_at_alarm.unwrap_or(1.0) };
        let shares = match self.state {
            MoveState::RolledBack => MoveShares::default(),
            MoveState::Done => MoveShares::uniform(limit),
            MoveState::Running => self.running_shares(now, evidence, limit),
        };
        self.evaluator.note_shares(now, &shares);
        self.evaluator
            .set_acceptance_enabled(shares.overall >= MIN_ACCEPTANCE_SHARE && !self.alarm_active);
        if self.last_share >= FULL_SHARE_FRACTION * FULL_SHARE {
            self.time_at_full_share += now.since(self.last_tick);
        }
        self.last_tick = now;
        self.last_share = shares.overall;
        shares
    }

    /// Updates whether an alarm is active. The share at which an alarm was raised is kept as a
    /// limit until the probation period after the alarm has passed.
    fn update_alarm(&mut self, now: WallTime) {
        let alarm_active = self.is_alarmed(now, ALARM_HOLD_S);
        if alarm_active && !self.alarm_active {
            let highest =
                if self.state == MoveState::Done { MAX_SHARE_AFTER_LATE_ALARM } else { FULL_SHARE };
            self.share_at_alarm = Some(self.last_share.clamp(ALARM_SHARE, highest));
        }
        if self.alarm_active && !alarm_active && self.evaluator.last_alarm_s().is_some() {
            // The old version raised no alarm, so this was not a common fault: the new version
            // must pass the acceptance tests from the beginning.
            self.evaluator.restart_acceptance_tests();
            self.time_at_full_share = Duration::ZERO;
        }
        // After an alarm in a move that is done, the limit stays, so that the old version keeps
        // getting requests to compare with.
        if self.state != MoveState::Done && !self.is_alarmed(now, ALARM_HOLD_S + PROBATION_S) {
            self.share_at_alarm = None;
        }
        self.alarm_active = alarm_active;
    }

    /// Returns the shares of a running move. In one step of the ramp, a route sends the new version
    /// at most as many requests as its credit or its part of `max_requests_at_risk`, whichever is
    /// larger.
    fn running_shares(&self, now: WallTime, evidence: &MoveEvidence, limit: f64) -> MoveShares {
        if !self.timeline.has_started(now) || !self.is_warmed_up(now) {
            return MoveShares::default();
        }
        let max_share = self.timeline.max_share(now).min(limit);
        let rates = self.rates(now, evidence);
        let sqrt_sum = rates.values().map(|rate| rate.sqrt()).sum::<f64>();
        let may_grow = self.evaluator.e_value() < HOLD_E_VALUE;
        let mut shares = MoveShares::uniform(max_share);
        let (mut new_rate, mut rate_sum) = (0.0, 0.0);
        for (route, rate) in rates {
            let credit = match self.evaluator.routes().get(&route) {
                Some(comparison) if may_grow => comparison.credit(),
                _ => 0.0,
            };
            // The parts are proportional to the square roots of the rates, so that routes with
            // little traffic get enough requests to be tested in time.
            let cap = self.settings.max_requests_at_risk * rate.sqrt() / sqrt_sum;
            let share = (credit.max(cap) / (rate * self.timeline.step_s())).min(max_share);
            new_rate += share * rate;
            rate_sum += rate;
            shares.routes.insert(route, share);
        }
        if rate_sum > 0.0 {
            shares.overall = new_rate / rate_sum;
        }
        shares
    }

    /// Returns the request rate of each route, in requests per second.
    fn rates(&self, now: WallTime, evidence: &MoveEvidence) -> BTreeMap<RouteName, f64> {
        let objective_s = self.settings.objective.as_secs();
        let end_s = self.evaluator.settled_s(now).saturating_sub(objective_s);
        let mut rates = BTreeMap::new();
        for window_s in RATE_WINDOWS_S {
            for (route, total) in evidence.totals(end_s.saturating_sub(window_s), end_s) {
                let rate = rates.entry(route).or_insert(MIN_ROUTE_RATE);
                *rate = rate.max(total as f64 / window_s as f64);
            }
        }
        rates
    }
}
