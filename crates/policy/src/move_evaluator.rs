//! Judgement of a new version from the evidence of all VMs.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use dragonflycart_core::{RouteName, WallTime};

use crate::{
    MoveComparison, MoveCounts, MoveEpochs, MoveEvidence, MoveMeasure, MoveProof, MoveReason,
    MoveSettings, MoveShares, MoveStratum, MoveTest,
};

/// Routes with a weight of their own in the combined evidence; further routes are tested only as
/// part of all routes together.
const JUDGED_ROUTES: usize = 8;

/// Weight of the test over all routes in the combined evidence. The weights of both measures add
/// up to 1.
const OVERALL_WEIGHT: f64 = 0.4;

/// Weight of the test over the strata in which at least half of the requests went to the new
/// version. A version that is bad only under load is good between two attempts at a high share;
/// the other tests would forget the evidence of the attempts.
const LOADED_WEIGHT: f64 = 0.05;

/// Weight of the tests of all single routes together.
const ROUTES_WEIGHT: f64 = 0.05;

/// Length of a period of the counts that a rollback reports.
const PERIOD_S: u64 = 15;

/// Time within which an alarm of the old version explains one of the new version: a platform
/// fault that hits both.
const COMMON_ALARM_S: u64 = 10;

/// Weight of a version that is bad from the start; the rest is spread over later segments.
const START_WEIGHT: f64 = 0.75;

/// Times at which the test allows for a version that turns bad.
const SEGMENTS: u64 = 32;

/// Judgement of a new version: one comparison per route, one over all
/// routes and one over periods with a high share. It takes each
/// settled counter into account once, so late evidence is used when it arrives.
#[derive(Debug, Clone)]
pub struct MoveEvaluator {
    settings: MoveSettings,
    start_s: u64,
    segment_s: u64,
    segments: u64,
    periods: u64,
    checked: BTreeMap<(u64, RouteName), [MoveCounts; 2]>,
    pending: BTreeMap<(u64, RouteName), [MoveCounts; 2]>,
    seen: BTreeMap<(u64, RouteName), [MoveCounts; 2]>,
    unproven: VecDeque<(u64, RouteName, [MoveStratum; 2])>,
    routes: BTreeMap<RouteName, MoveComparison>,
    epochs: BTreeMap<RouteName, MoveEpochs>,
    overall: [MoveTest; 2],
    proofs: [MoveProof; 2],
    attempts: u64,
    loaded: [MoveTest; 2],
    proving: bool,
    alarms_s: [Option<u64>; 2],
}

impl MoveEvaluator {
    /// Creates the judgement of a move that starts at `start` and is watched for `horizon`.
    pub fn new(settings: MoveSettings, start: WallTime, horizon: Duration) -> MoveEvaluator {
        let mut test = MoveTest::new(settings.margin);
        test.open_segment(START_WEIGHT);
        MoveEvaluator {
            start_s: start.as_unix_millis() / 1_000,
            segment_s: (horizon.as_secs() / SEGMENTS).max(1),
            segments: 0,
            periods: 0,
            checked: BTreeMap::new(),
            pending: BTreeMap::new(),
            seen: BTreeMap::new(),
            unproven: VecDeque::new(),
            routes: BTreeMap::new(),
            epochs: BTreeMap::new(),
            overall: [test.clone(), test.clone()],
            proofs: [settings.failed_tolerance, settings.slow_tolerance].map(MoveProof::new),
            attempts: 1,
            loaded: [test.clone(), test],
            proving: false,
            alarms_s: [None; 2],
            settings,
        }
    }

    /// Takes new evidence into account: for the alarms at once, for the tests once it has settled.
    pub fn absorb(&mut self, evidence: &mut MoveEvidence, now: WallTime) {
        for (bucket_s, route, sums) in evidence.take_changed(u64::MAX) {
            if bucket_s < self.start_s {
                continue;
            }
            let checked = self.checked.entry((bucket_s, route.clone())).or_default();
            let added = [sums[0].since(checked[0]), sums[1].since(checked[1])];
            *checked = sums;
            let raised = self.comparison(route.clone()).check(added);
            for (alarm_s, raised) in self.alarms_s.iter_mut().zip(raised) {
                *alarm_s = (*alarm_s).max(raised.then_some(bucket_s));
            }
            self.pending.insert((bucket_s, route), sums);
        }
        let now_s = self.settled_s(now);
        while let Some(entry) = self.pending.first_entry() {
            if entry.key().0 >= now_s {
                break;
            }
            let ((bucket_s, route), sums) = entry.remove_entry();
            self.open_segments(bucket_s);
            self.rotate_recent(bucket_s);
            self.close_ready(&route, bucket_s);
            let seen = self.seen.entry((bucket_s, route.clone())).or_default();
            let added = [sums[0].since(seen[0]), sums[1].since(seen[1])];
            *seen = sums;
            let epoch = self.epochs.get(&route).map_or(Some(0), |epochs| epochs.epoch(bucket_s));
            self.comparison(route).add(bucket_s, epoch, added);
        }
        let routes: Vec<_> = self.routes.keys().cloned().collect();
        for route in routes {
            self.close_ready(&route, now_s);
        }
        if self.has_common_alarm(now_s) {
            for comparison in self.routes.values_mut() {
                comparison.restore_trust();
            }
        }
        self.prove_settled(now_s);
    }

    /// Drops buckets that the evidence no longer holds.
    pub fn forget_before(&mut self, first_s: u64) {
        for counts in [&mut self.checked, &mut self.pending, &mut self.seen] {
            counts.retain(|key, _| key.0 >= first_s);
        }
    }

    /// Notes the shares that are in effect from now on.
    pub fn note_shares(&mut self, now: WallTime, shares: &MoveShares) {
        let now_s = now.as_unix_millis() / 1_000;
        for route in self.routes.keys().chain(shares.routes.keys()) {
            let epochs = self.epochs.entry(route.clone()).or_default();
            epochs.observe(now_s, shares.share(route));
        }
    }

    /// Sets whether strata count towards the proof that the version is good.
    pub fn set_proving(&mut self, proving: bool) {
        self.proving = proving;
    }

    /// Returns the second from which evidence is not settled yet.
    pub fn settled_s(&self, now: WallTime) -> u64 {
        (now.as_unix_millis() / 1_000).saturating_sub(self.settings.settle.as_secs())
    }

    /// Returns the start of the last bucket that raised an alarm for the new version, unless the
    /// old version raised one at nearly the same time.
    pub fn last_alarm_s(&self) -> Option<u64> {
        let new_s = self.alarms_s[1]?;
        let common = self.alarms_s[0].is_some_and(|old_s| old_s + COMMON_ALARM_S >= new_s);
        (!common).then_some(new_s)
    }

    fn has_common_alarm(&self, now_s: u64) -> bool {
        let recent = self.alarms_s[1].is_some_and(|new_s| new_s + COMMON_ALARM_S >= now_s);
        recent && self.last_alarm_s().is_none()
    }

    /// Starts the proofs that the version is good again. Each attempt gets a smaller part of the
    /// error bound, so that the bound holds for all attempts together.
    pub fn restart_proofs(&mut self) {
        self.attempts += 1;
        self.unproven.clear();
        self.proofs = self.proofs.clone().map(MoveProof::restart);
        for comparison in self.routes.values_mut() {
            comparison.restart_proofs();
        }
    }

    /// Returns the evidence that a proof must reach.
    pub fn proof_limit(&self) -> f64 {
        (self.attempts * (self.attempts + 1)) as f64 / (2.0 * self.settings.proof_error)
    }

    /// Returns the proof of a measure over all routes.
    pub fn proof(&self, measure: MoveMeasure) -> &MoveProof {
        &self.proofs[measure as usize]
    }

    /// Returns the comparisons per route.
    pub fn routes(&self) -> &BTreeMap<RouteName, MoveComparison> {
        &self.routes
    }

    /// Returns the combined evidence against the new version, a weighted average of the tests.
    pub fn e_value(&self) -> f64 {
        self.weighted_tests().map(|(weight, _, _, test)| weight * test.e_value()).sum()
    }

    /// Returns why the new version must be rolled back, if the evidence suffices.
    pub fn rejection(&self) -> Option<MoveReason> {
        let evidence = self.e_value();
        if evidence < 1.0 / self.settings.rollback_error {
            return None;
        }
        let strongest = self
            .weighted_tests()
            .max_by(|a, b| (a.0 * a.3.e_value()).total_cmp(&(b.0 * b.3.e_value())));
        let (_, route, measure, test) = strongest?;
        let counts = test.recent();
        Some(MoveReason::Worse { route: route.cloned(), measure, counts, evidence })
    }

    fn weighted_tests(
        &self,
    ) -> impl Iterator<Item = (f64, Option<&RouteName>, MoveMeasure, &MoveTest)> {
        let overall = MoveMeasure::ALL.into_iter().flat_map(|measure| {
            let overall = (OVERALL_WEIGHT, None, measure, &self.overall[measure as usize]);
            [overall, (LOADED_WEIGHT, None, measure, &self.loaded[measure as usize])]
        });
        let share = ROUTES_WEIGHT / JUDGED_ROUTES as f64;
        let routes = self.routes.iter().take(JUDGED_ROUTES).flat_map(move |(route, comparison)| {
            MoveMeasure::ALL
                .into_iter()
                .map(move |measure| (share, Some(route), measure, comparison.test(measure)))
        });
        overall.chain(routes)
    }

    fn comparison(&mut self, route: RouteName) -> &mut MoveComparison {
        // A route seen for the first time has the weight that the others got so far.
        let opened = self.segments as f64 / SEGMENTS as f64;
        let weight = START_WEIGHT + (1.0 - START_WEIGHT) * opened;
        self.routes.entry(route).or_insert_with(|| MoveComparison::new(&self.settings, weight))
    }

    fn close_ready(&mut self, route: &RouteName, now_s: u64) {
        let Some(comparison) = self.routes.get_mut(route) else { return };
        for strata in comparison.close_ready(now_s) {
            for (test, stratum) in self.overall.iter_mut().zip(&strata) {
                test.absorb(stratum);
            }
            if self.proving {
                self.unproven.push_back((now_s, route.clone(), strata));
            }
            for (test, stratum) in self.loaded.iter_mut().zip(&strata) {
                if stratum.new >= stratum.old {
                    test.absorb(stratum);
                }
            }
        }
    }

    /// Feeds strata to the proofs once no alarm followed them closely. Requests that failed in a
    /// platform fault say nothing about the rate of the version; the tests judge them in
    /// comparison with the old version.
    fn prove_settled(&mut self, now_s: u64) {
        if self.alarms_s[1].is_some_and(|alarm_s| now_s <= alarm_s + COMMON_ALARM_S) {
            self.unproven.clear();
        }
        while self.unproven.front().is_some_and(|(s, _, _)| s + COMMON_ALARM_S < now_s) {
            let Some((_, route, strata)) = self.unproven.pop_front() else { break };
            for (proof, stratum) in self.proofs.iter_mut().zip(&strata) {
                proof.absorb(stratum);
            }
            self.comparison(route).prove(&strata);
        }
    }

    fn rotate_recent(&mut self, bucket_s: u64) {
        let period = (bucket_s - self.start_s) / PERIOD_S;
        if period <= self.periods {
            return;
        }
        self.periods = period;
        for test in self.overall.iter_mut().chain(&mut self.loaded) {
            test.rotate_recent();
        }
        for comparison in self.routes.values_mut() {
            comparison.rotate_recent();
        }
    }

    fn open_segments(&mut self, bucket_s: u64) {
        let due = ((bucket_s - self.start_s) / self.segment_s).min(SEGMENTS);
        while self.segments < due {
            self.segments += 1;
            let weight = (1.0 - START_WEIGHT) / SEGMENTS as f64;
            for test in self.overall.iter_mut().chain(&mut self.loaded) {
                test.open_segment(weight);
            }
            for comparison in self.routes.values_mut() {
                comparison.open_segment(weight);
            }
        }
    }
}
