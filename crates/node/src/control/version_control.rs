//! Chooses the model version for each request and runs the version moves.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use dragonflycart_core::{
    Incarnation, ModelName, MoveId, OperatingPlan, RequestKey, RouteName, VersionMove, VersionName,
    WallTime,
};
use dragonflycart_operator::api::RouteEvidence;
use dragonflycart_policy::{
    MoveControl, MoveCounts, MoveDecision, MoveEvidence, MoveReason, MoveSettings, MoveShares,
    MoveState, VersionRole,
};
use dragonflycart_wire::{Evidence, EvidenceCounter};
use log::{info, warn};

use bytes::Bytes;

/// Length of a time bucket of the request counters. It is short because a bad version must be
/// noticed within seconds.
const BUCKET_MS: u64 = 1_000;
/// Time for which a changed counter is resent to peers, to make up for lost messages.
const RESEND_TIME: Duration = Duration::from_secs(10);
/// Time for which a counter is kept after its last change. If a request of the same bucket ends
/// even later, the bucket is counted from zero again, which only loses evidence.
const COUNTER_LIFETIME: Duration = Duration::from_secs(3_600);

/// State of a version move on this VM.
struct ActiveMove {
    plan: VersionMove,
    control: MoveControl,
    evidence: MoveEvidence,
    shares: MoveShares,
    state: MoveState,
    reason: String,
    ended_at: Option<WallTime>,
    may_unload: bool,
}

/// End of a move that this VM decided, to be gossiped and appended to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MoveEnding {
    /// Move.
    pub(crate) move_id: MoveId,
    /// Done or rolled back.
    pub(crate) state: MoveState,
    /// Reason, including the evidence.
    pub(crate) reason: String,
}

/// State of a move, as shown to operators.
#[derive(Debug, Clone)]
pub(crate) struct MoveView {
    /// Move.
    pub(crate) move_id: MoveId,
    /// The move as stated in the plan.
    pub(crate) plan: VersionMove,
    /// State.
    pub(crate) state: MoveState,
    /// Share of requests that this VM sends to the new version.
    pub(crate) share: f64,
    /// Reason for the end, or empty while the move runs.
    pub(crate) reason: String,
    /// Time of the end.
    pub(crate) ended_at: Option<WallTime>,
    /// Evidence per route.
    pub(crate) evidence: Vec<RouteEvidence>,
}

type CounterKey = (ModelName, VersionName, RouteName, u64);

/// Counters of one bucket with the time of their last change.
#[derive(Debug, Clone, Copy, Default)]
struct CountedBucket {
    counts: MoveCounts,
    changed_at: WallTime,
}

/// Runs the version moves and chooses versions on this VM.
pub(crate) struct VersionControl {
    own: Incarnation,
    settings: MoveSettings,
    moves: BTreeMap<MoveId, ActiveMove>,
    versions: BTreeMap<ModelName, BTreeSet<VersionName>>,
    /// Request counters of this VM, to be sent to peers.
    counted: BTreeMap<CounterKey, CountedBucket>,
}

impl VersionControl {
    /// Starts without a plan.
    pub(crate) fn new(own: Incarnation, settings: MoveSettings) -> VersionControl {
        VersionControl {
            own,
            settings,
            moves: BTreeMap::new(),
            versions: BTreeMap::new(),
            counted: BTreeMap::new(),
        }
    }

    /// Applies a new plan. A move that has not changed keeps its evidence.
    pub(crate) fn set_plan(&mut self, plan: &OperatingPlan, now: WallTime) {
        self.versions.clear();
        for placement in &plan.placements {
            let versions = self.versions.entry(placement.model.clone()).or_default();
            versions.insert(placement.version.clone());
        }
        let mut old = std::mem::take(&mut self.moves);
        for (move_id, planned) in &plan.moves {
            let active = match old.remove(move_id) {
                Some(active) if active.plan == *planned => active,
                _ => ActiveMove {
                    plan: planned.clone(),
                    control: MoveControl::new(planned, self.settings.clone(), now),
                    evidence: MoveEvidence::default(),
                    shares: MoveShares::uniform(0.0),
                    state: MoveState::Running,
                    reason: String::new(),
                    ended_at: None,
                    may_unload: false,
                },
            };
            self.moves.insert(move_id.clone(), active);
        }
    }

    /// Returns the version that serves a request, or `None` if the plan places none.
    ///
    /// `can_serve` returns whether any server can serve requests for a version. If the new version
    /// of a move can't be served, because it is not loaded or is held back while a delayed order
    /// may still arrive, the old version is used instead. The reverse never happens: a request for
    /// the old version does not go to the new one, which may have been rolled back.
    pub(crate) fn choose(
        &self,
        model: &ModelName,
        route: &RouteName,
        key: &RequestKey,
        can_serve: impl Fn(&VersionName) -> bool,
    ) -> Option<VersionName> {
        let placed = self.versions.get(model)?;
        for (move_id, active) in &self.moves {
            if &active.plan.model != model {
                continue;
            }
            let (from, to) = (&active.plan.from, &active.plan.to);
            let version = match active.shares.assign(move_id, route, key) {
                VersionRole::New if can_serve(to) || !can_serve(from) => to,
                VersionRole::New | VersionRole::Old => from,
            };
            return Some(version.clone());
        }
        placed.last().cloned()
    }

    /// Counts a request in the time bucket in which it was sent.
    pub(crate) fn count(
        &mut self,
        model: &ModelName,
        version: &VersionName,
        route: &RouteName,
        counts: MoveCounts,
        (sent_at, now): (WallTime, WallTime),
    ) {
        if !self.moves.values().any(|active| &active.plan.model == model) {
            return;
        }
        let bucket_s = bucket_of(sent_at);
        let key = (model.clone(), version.clone(), route.clone(), bucket_s);
        let bucket = self.counted.entry(key.clone()).or_default();
        bucket.counts = bucket.counts.plus(counts);
        bucket.changed_at = now;
        let total = bucket.counts;
        self.merge_counts(self.own, &key, total);
    }

    fn merge_counts(
        &mut self,
        incarnation: Incarnation,
        (model, version, route, bucket_s): &CounterKey,
        counts: MoveCounts,
    ) {
        for active in self.moves.values_mut() {
            if &active.plan.model != model {
                continue;
            }
            let role = if version == &active.plan.to {
                VersionRole::New
            } else if version == &active.plan.from {
                VersionRole::Old
            } else {
                continue;
            };
            active.evidence.merge(incarnation, *bucket_s, (route, role), counts);
        }
    }

    /// Merges the counters of a peer. Counters with invalid names are ignored.
    pub(crate) fn merge(&mut self, evidence: &Evidence) {
        let Ok(incarnation) = <[u8; 16]>::try_from(evidence.incarnation.as_ref()) else {
            return;
        };
        let incarnation = Incarnation(u128::from_be_bytes(incarnation));
        for counter in &evidence.counters {
            let names = (
                ModelName::new(&counter.model),
                VersionName::new(&counter.version),
                RouteName::new(&counter.route),
            );
            let (Ok(model), Ok(version), Ok(route)) = names else {
                continue;
            };
            let counts = MoveCounts {
                finished: counter.finished,
                failed: counter.failed,
                slow: counter.slow,
            };
            let key = (model, version, route, counter.bucket_s);
            self.merge_counts(incarnation, &key, counts);
        }
    }

    /// Returns the recent counters of this VM as a message, or `None` if there are none.
    pub(crate) fn evidence(&mut self, now: WallTime) -> Option<Evidence> {
        self.counted.retain(|_, bucket| now.since(bucket.changed_at) < COUNTER_LIFETIME);
        let mut counters = Vec::new();
        for ((model, version, route, bucket_s), bucket) in &self.counted {
            if now.since(bucket.changed_at) >= RESEND_TIME {
                continue;
            }
            let counts = bucket.counts;
            counters.push(EvidenceCounter {
                model: model.to_string(),
                version: version.to_string(),
                route: route.to_string(),
                finished: counts.finished,
                failed: counts.failed,
                slow: counts.slow,
                bucket_s: *bucket_s,
            });
        }
        if counters.is_empty() {
            return None;
        }
        let incarnation = Bytes::copy_from_slice(&self.own.0.to_be_bytes());
        Some(Evidence { incarnation, counters })
    }

    /// Advances all moves. `state_of` returns the state of a move in the gossip state, and the
    /// reason. Returns the moves whose end this VM has decided.
    pub(crate) fn tick(
        &mut self,
        now: WallTime,
        state_of: impl Fn(&MoveId) -> (MoveState, String),
    ) -> Vec<MoveEnding> {
        let mut endings = Vec::new();
        for (move_id, active) in &mut self.moves {
            let (known, known_reason) = state_of(move_id);
            let decision: MoveDecision = active.control.tick(now, &mut active.evidence, known);
            active.control.forget_old(now, &mut active.evidence);
            active.shares = decision.shares;
            active.may_unload = decision.may_unload;
            if decision.state == active.state {
                continue;
            }
            active.state = decision.state;
            active.ended_at = Some(now);
            let Some(reason) = decision.transition_reason else {
                continue;
            };
            active.reason = match reason {
                MoveReason::Peer => known_reason,
                _ => reason.to_string(),
            };
            if decision.state == MoveState::RolledBack {
                warn!("move: rolled back; move={move_id} reason={reason}");
            } else {
                info!("move: done; move={move_id} reason={reason}");
            }
            if matches!(reason, MoveReason::Peer) {
                continue;
            }
            endings.push(MoveEnding {
                move_id: move_id.clone(),
                state: decision.state,
                reason: active.reason.clone(),
            });
        }
        endings
    }

    /// Returns the state of each move, and whether the version that it no longer needs may be
    /// unloaded.
    pub(crate) fn states(&self) -> BTreeMap<MoveId, (MoveState, bool)> {
        let entry =
            |(id, active): (&MoveId, &ActiveMove)| (id.clone(), (active.state, active.may_unload));
        self.moves.iter().map(entry).collect()
    }

    /// Returns the versions to which this VM sends requests.
    pub(crate) fn routed_versions(&self) -> BTreeSet<(ModelName, VersionName)> {
        let mut routed_versions = BTreeSet::new();
        for (model, versions) in &self.versions {
            let active = self.moves.values().find(|active| &active.plan.model == model);
            let Some(active) = active else {
                routed_versions
                    .extend(versions.last().map(|version| (model.clone(), version.clone())));
                continue;
            };
            if active.shares.overall < 1.0 {
                routed_versions.insert((model.clone(), active.plan.from.clone()));
            }
            if active.shares.overall > 0.0 {
                routed_versions.insert((model.clone(), active.plan.to.clone()));
            }
        }
        routed_versions
    }

    /// Returns the moves as shown to operators.
    pub(crate) fn views(&self) -> Vec<MoveView> {
        let mut views = Vec::with_capacity(self.moves.len());
        for (move_id, active) in &self.moves {
            let mut evidence = Vec::new();
            for (route, comparison) in active.control.evaluator().routes() {
                let [old, new] = comparison.totals();
                evidence.push(RouteEvidence {
                    route: route.clone(),
                    old_requests: old.total(),
                    old_bad: old.failed + old.slow,
                    new_requests: new.total(),
                    new_bad: new.failed + new.slow,
                });
            }
            views.push(MoveView {
                move_id: move_id.clone(),
                plan: active.plan.clone(),
                state: active.state,
                share: active.shares.overall,
                reason: active.reason.clone(),
                ended_at: active.ended_at,
                evidence,
            });
        }
        views
    }
}

fn bucket_of(now: WallTime) -> u64 {
    now.as_unix_millis() / BUCKET_MS * BUCKET_MS / 1_000
}
