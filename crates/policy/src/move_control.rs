//! Control of one version move on one VM.

use std::{collections::BTreeMap, time::Duration};

use dragonflycart_core::{RouteName, VersionMove, WallTime};

use crate::{
    MoveDecision, MoveEvaluator, MoveEvidence, MoveMeasure, MovePace, MoveProof, MoveReason,
    MoveSettings, MoveShares, MoveState, move_pace::FULL,
};

/// Time after its creation, beside the settle time and the objective, for which a control sends no
/// request to the new version and decides nothing from a lack of evidence: it does not know the
/// request rates and the evidence of its peers yet.
const WARM_UP: Duration = Duration::from_secs(8);

/// Windows over which the request rate is measured; the higher rate counts.
const RATE_WINDOWS_S: [u64; 2] = [5, 30];

/// Lowest assumed request rate of a route.
const RATE_FLOOR: f64 = 1.0 / 30.0;

/// Share at which evidence counts towards the proof that the version is good.
const PROOF_SHARE: f64 = 0.4;

/// Share of the new version while an alarm is raised.
const ALARM_SHARE: f64 = 0.15;

/// Share of the new version after an alarm in the watch. It is above the full share of a running
/// move, because a version that is bad only above that must show it again beside the old version.
const WATCHED_SHARE: f64 = 0.95;

/// Time for which an alarm lowers the share.
const ALARM_HOLD_S: u64 = 20;

/// Fraction of the time of the move for which the version must have had its full share without an
/// alarm before the move is done.
const QUIET_FRACTION: u32 = 10;

/// Evidence against the new version at which the share stops growing.
const HOLD_EVIDENCE: f64 = 20.0;

/// Part of the full share that counts as full.
const FULL_ENOUGH: f64 = 0.97;

/// Time without an alarm after which the share may rise above the one that raised the last alarm.
const PROBATION_S: u64 = 60;

/// Control of one version move on one VM. Every VM runs its own; they agree through the evidence
/// they exchange and through the lattice of states.
#[derive(Debug, Clone)]
pub struct MoveControl {
    pace: MovePace,
    settings: MoveSettings,
    evaluator: MoveEvaluator,
    state: MoveState,
    created: WallTime,
    watch_until: WallTime,
    held: bool,
    last_share: f64,
    tripped: Option<f64>,
    watched: Duration,
    last_tick: WallTime,
}

impl MoveControl {
    /// Creates the control of a move at time `now`.
    pub fn new(plan: &VersionMove, settings: MoveSettings, now: WallTime) -> MoveControl {
        let pace = MovePace::new(plan);
        let horizon = pace.span() + settings.watch;
        MoveControl {
            pace,
            evaluator: MoveEvaluator::new(settings.clone(), plan.start, horizon),
            state: MoveState::Running,
            created: now,
            watch_until: plan.deadline.after(settings.watch),
            held: false,
            last_share: 0.0,
            tripped: None,
            watched: Duration::ZERO,
            last_tick: now,
            settings,
        }
    }

    /// Returns the judgement.
    pub fn evaluator(&self) -> &MoveEvaluator {
        &self.evaluator
    }

    /// Decides what to do now, from the evidence merged so far and the latch known from peers.
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

    /// Drops evidence beyond the retention time.
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
        if self.state == MoveState::Done || !self.pace.may_finish(now) {
            return None;
        }
        let reason = match self.proof() {
            Ok(reason) if !self.is_doubtful() => return Some((MoveState::Done, reason)),
            Ok(_) => MoveReason::Doubtful { evidence: self.evaluator.e_value() },
            Err(reason) => reason,
        };
        let over = self.pace.is_over(now) || (self.is_informed(now) && self.pace.must_decide(now));
        over.then_some((MoveState::RolledBack, reason))
    }

    fn is_informed(&self, now: WallTime) -> bool {
        now >= self.created.after(WARM_UP + self.settings.settle + self.settings.objective)
    }

    /// Returns why the version is proven good, or what is missing.
    fn proof(&self) -> Result<MoveReason, MoveReason> {
        let mut total = 0;
        let mut unjudged = Vec::new();
        for (route, comparison) in self.evaluator.routes() {
            let [old, new] = comparison.totals();
            total += new.total();
            if old.total() + new.total() <= self.settings.route_floor {
                unjudged.push(route.clone());
                continue;
            }
            for measure in MoveMeasure::ALL {
                self.check_proof(Some(route), measure, comparison.proof(measure))?;
            }
        }
        let needed = self.settings.route_floor;
        if total < needed || unjudged.len() == self.evaluator.routes().len() {
            return Err(MoveReason::TooLittleTraffic { requests: total, needed });
        }
        for measure in MoveMeasure::ALL {
            self.check_proof(None, measure, self.evaluator.proof(measure))?;
        }
        Ok(MoveReason::Proven { requests: total, unjudged })
    }

    fn check_proof(
        &self,
        route: Option<&RouteName>,
        measure: MoveMeasure,
        proof: &MoveProof,
    ) -> Result<(), MoveReason> {
        if proof.e_value() >= self.evaluator.proof_limit() {
            return Ok(());
        }
        let (requests, evidence) = (proof.requests(), proof.e_value());
        Err(MoveReason::Unproven { route: route.cloned(), measure, requests, evidence })
    }

    /// Returns whether the version was not watched at full share without an alarm for long enough,
    /// or the evidence leans against it.
    fn is_doubtful(&self) -> bool {
        let quiet = self.pace.span() / QUIET_FRACTION;
        self.held || self.watched < quiet || self.evaluator.e_value() >= HOLD_EVIDENCE
    }

    fn is_alarmed(&self, now: WallTime, hold_s: u64) -> bool {
        let now_s = self.evaluator.settled_s(now);
        self.evaluator.last_alarm_s().is_some_and(|alarm_s| now_s < alarm_s + hold_s)
    }

    fn shares(&mut self, now: WallTime, evidence: &MoveEvidence) -> MoveShares {
        self.note_alarm(now);
        let limit = if self.held { ALARM_SHARE } else { self.tripped.unwrap_or(1.0) };
        let shares = match self.state {
            MoveState::RolledBack => MoveShares::default(),
            MoveState::Done => MoveShares::uniform(limit),
            MoveState::Running => self.running_shares(now, evidence, limit),
        };
        self.evaluator.note_shares(now, &shares);
        self.evaluator.set_proving(shares.overall >= PROOF_SHARE && !self.held);
        if self.last_share >= FULL_ENOUGH * FULL {
            self.watched += now.since(self.last_tick);
        }
        self.last_tick = now;
        self.last_share = shares.overall;
        shares
    }

    /// Remembers the share that raised an alarm until the share was held for a while without one.
    fn note_alarm(&mut self, now: WallTime) {
        let held = self.is_alarmed(now, ALARM_HOLD_S);
        if held && !self.held {
            let highest = if self.state == MoveState::Done { WATCHED_SHARE } else { FULL };
            self.tripped = Some(self.last_share.clamp(ALARM_SHARE, highest));
        }
        if self.held && !held && self.evaluator.last_alarm_s().is_some() {
            // The old version did not raise the alarm too, so nothing but the new one explains it.
            self.evaluator.restart_proofs();
            self.watched = Duration::ZERO;
        }
        // After an alarm in the watch the old version keeps a part of the traffic for comparison.
        if self.state != MoveState::Done && !self.is_alarmed(now, ALARM_HOLD_S + PROBATION_S) {
            self.tripped = None;
        }
        self.held = held;
    }

    /// Returns shares that keep the requests at risk of one step within the cap, or within the
    /// trust that concluded requests of the new version have earned.
    fn running_shares(&self, now: WallTime, evidence: &MoveEvidence, limit: f64) -> MoveShares {
        if !self.pace.has_started(now) || !self.is_informed(now) {
            return MoveShares::default();
        }
        let ceiling = self.pace.ceiling(now).min(limit);
        let rates = self.rates(now, evidence);
        let roots = rates.values().map(|rate| rate.sqrt()).sum::<f64>();
        let grows = self.evaluator.e_value() < HOLD_EVIDENCE;
        let mut shares = MoveShares::uniform(ceiling);
        let (mut new_rate, mut rate_sum) = (0.0, 0.0);
        for (route, rate) in rates {
            let trust = match self.evaluator.routes().get(&route) {
                Some(comparison) if grows => comparison.trust(),
                _ => 0.0,
            };
            // Small routes get more than their part of the cap, so that they are judged in time.
            let cap = self.settings.risk_cap * rate.sqrt() / roots;
            let share = (trust.max(cap) / (rate * self.pace.step_s())).min(ceiling);
            new_rate += share * rate;
            rate_sum += rate;
            shares.routes.insert(route, share);
        }
        if rate_sum > 0.0 {
            shares.overall = new_rate / rate_sum;
        }
        shares
    }

    fn rates(&self, now: WallTime, evidence: &MoveEvidence) -> BTreeMap<RouteName, f64> {
        let objective_s = self.settings.objective.as_secs();
        let end_s = self.evaluator.settled_s(now).saturating_sub(objective_s);
        let mut rates = BTreeMap::new();
        for window_s in RATE_WINDOWS_S {
            for (route, total) in evidence.totals(end_s.saturating_sub(window_s), end_s) {
                let rate = rates.entry(route).or_insert(RATE_FLOOR);
                *rate = rate.max(total as f64 / window_s as f64);
            }
        }
        rates
    }
}
