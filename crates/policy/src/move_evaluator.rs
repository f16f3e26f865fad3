//! Evaluation of a new version from the request counters of all VMs.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use dragonflycart_core::{RouteName, WallTime};

use crate::{
    MoveAcceptanceTest, MoveCounts, MoveEvidence, MoveMetric, MoveReason, MoveRejectionTest,
    MoveSettings, MoveShares, MoveStratum, RouteComparison, ShareEpochs,
};

/// Number of routes whose own tests are part of the combined e-value. Further routes count only in
/// the tests over all routes.
const MAX_TESTED_ROUTES: usize = 8;

/// Weight of the test over all routes in the combined e-value, per metric. The weights of all tests
/// of both metrics add up to 1.
const OVERALL_WEIGHT: f64 = 0.4;

/// Weight of the test over the strata in which at least half of the requests went to the new
/// version, per metric. A version that is bad only under load does well at the low share between
/// two attempts at a high share, which reduces the e-values of the other tests again.
const HIGH_SHARE_WEIGHT: f64 = 0.05;

/// Weight of the tests of all single routes together, per metric.
const ROUTES_WEIGHT: f64 = 0.05;

/// Length of a period of the recent counts that the reason of a rollback shows.
const RECENT_PERIOD_S: u64 = 15;

/// Time within which alarms of both versions are attributed to a platform fault that affects both.
const COMMON_FAULT_WINDOW_S: u64 = 10;

/// Weight of the case that the version is bad from the start. The rest is divided among the
/// segments, for the cases that it turns bad later.
const INITIAL_WEIGHT: f64 = 0.75;

/// Number of segments into which the move and its watch time are divided. The tests assume that a
/// version that turns bad later does so at the start of a segment.
const SEGMENT_COUNT: u64 = 32;

/// Closed strata of one route that wait for the acceptance tests, one for each metric.
#[derive(Debug, Clone)]
struct AwaitingStrata {
    closed_s: u64,
    route: RouteName,
    strata: [MoveStratum; 2],
    /// Whether the new version raised an alarm at nearly the same time, on each metric.
    alarmed: [bool; 2],
}

/// Evaluation of a new version: tests per route, over all routes, and over the strata with a high
/// share of the new version.
///
/// New counters update the alarms at once. They update the tests once they have settled, that is,
/// when the counters of all VMs should have arrived. Counters that arrive later are added as well.
#[derive(Debug, Clone)]
pub struct MoveEvaluator {
    settings: MoveSettings,
    start_s: u64,
    segment_s: u64,
    /// Number of segments opened so far.
    segments: u64,
    /// Number of the current period of the recent counts.
    periods: u64,
    /// Counters that have updated the alarms.
    alarm_counts: BTreeMap<(u64, RouteName), [MoveCounts; 2]>,
    /// Counters that have not settled yet.
    pending: BTreeMap<(u64, RouteName), [MoveCounts; 2]>,
    /// Counters that have updated the comparisons.
    tested_counts: BTreeMap<(u64, RouteName), [MoveCounts; 2]>,
    /// Closed strata for the acceptance tests, kept until it is known whether an alarm follows
    /// them.
    awaiting_acceptance: VecDeque<AwaitingStrata>,
    routes: BTreeMap<RouteName, RouteComparison>,
    epochs: BTreeMap<RouteName, ShareEpochs>,
    overall_tests: [MoveRejectionTest; 2],
    acceptance_tests: [MoveAcceptanceTest; 2],
    acceptance_attempts: u64,
    high_share_tests: [MoveRejectionTest; 2],
    acceptance_enabled: bool,
    /// Start of the last bucket that raised an alarm for the old and for the new version, on each
    /// metric.
    alarms_s: [[Option<u64>; 2]; 2],
}

impl MoveEvaluator {
    /// Creates the evaluation of a move that starts at `start`. The segments are spread over
    /// `horizon`.
    pub fn new(settings: MoveSettings, start: WallTime, horizon: Duration) -> MoveEvaluator {
        let mut test = MoveRejectionTest::new(settings.margin);
        test.open_segment(INITIAL_WEIGHT);
        MoveEvaluator {
            start_s: start.as_unix_millis() / 1_000,
            segment_s: (horizon.as_secs() / SEGMENT_COUNT).max(1),
            segments: 0,
            periods: 0,
            alarm_counts: BTreeMap::new(),
            pending: BTreeMap::new(),
            tested_counts: BTreeMap::new(),
            awaiting_acceptance: VecDeque::new(),
            routes: BTreeMap::new(),
            epochs: BTreeMap::new(),
            overall_tests: [test.clone(), test.clone()],
            acceptance_tests: [settings.failed_tolerance, settings.slow_tolerance]
                .map(MoveAcceptanceTest::new),
            acceptance_attempts: 1,
            high_share_tests: [test.clone(), test],
            acceptance_enabled: false,
            alarms_s: [[None; 2]; 2],
            settings,
        }
    }

    /// Updates the alarms with all new counters, and the tests with the counters that have settled.
    pub fn absorb(&mut self, evidence: &mut MoveEvidence, now: WallTime) {
        for (bucket_s, route, sums) in evidence.take_changed(u64::MAX) {
            if bucket_s < self.start_s {
                continue;
            }
            let known = self.alarm_counts.entry((bucket_s, route.clone())).or_default();
            let added = [sums[0].since(known[0]), sums[1].since(known[1])];
            *known = sums;
            let raised = self.comparison(route.clone()).check_alarms(added);
            let alarms_s = self.alarms_s.as_flattened_mut().iter_mut();
            for (alarm_s, raised) in alarms_s.zip(raised.as_flattened()) {
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
            let known = self.tested_counts.entry((bucket_s, route.clone())).or_default();
            let added = [sums[0].since(known[0]), sums[1].since(known[1])];
            *known = sums;
            let epoch = self.epochs.get(&route).map_or(Some(0), |epochs| epochs.epoch(bucket_s));
            self.comparison(route).add(bucket_s, epoch, added);
        }
        let routes: Vec<_> = self.routes.keys().cloned().collect();
        for route in routes {
            self.close_ready(&route, now_s);
        }
        if self.has_common_fault(now_s) {
            for comparison in self.routes.values_mut() {
                comparison.restore_credit();
            }
        }
        self.feed_settled_strata(now_s);
    }

    /// Drops buckets that were removed from the [`MoveEvidence`].
    pub fn forget_before(&mut self, first_s: u64) {
        for counts in [&mut self.alarm_counts, &mut self.pending, &mut self.tested_counts] {
            counts.retain(|key, _| key.0 >= first_s);
        }
    }

    /// Records the shares that are in effect from now on.
    pub fn note_shares(&mut self, now: WallTime, shares: &MoveShares) {
        let now_s = now.as_unix_millis() / 1_000;
        for route in self.routes.keys().chain(shares.routes.keys()) {
            let epochs = self.epochs.entry(route.clone()).or_default();
            epochs.observe(now_s, shares.share(route));
        }
    }

    /// Sets whether strata that are closed from now on feed the acceptance tests.
    pub fn set_acceptance_enabled(&mut self, enabled: bool) {
        self.acceptance_enabled = enabled;
    }

    /// Returns the start of the first bucket that has not settled yet, in seconds.
    pub fn settled_s(&self, now: WallTime) -> u64 {
        (now.as_unix_millis() / 1_000).saturating_sub(self.settings.settle.as_secs())
    }

    /// Returns the start of the last bucket that raised an alarm for the new version, unless the
    /// old version raised one at nearly the same time.
    pub fn last_alarm_s(&self) -> Option<u64> {
        let [old_s, new_s] = self.alarms_s.map(|alarms_s| alarms_s.into_iter().max().flatten());
        let new_s = new_s?;
        let common = old_s.is_some_and(|old_s| old_s + COMMON_FAULT_WINDOW_S >= new_s);
        (!common).then_some(new_s)
    }

    /// Returns whether both versions raised an alarm recently.
    fn has_common_fault(&self, now_s: u64) -> bool {
        let mut alarms_s = self.alarms_s[1].into_iter().flatten();
        let recent = alarms_s.any(|new_s| new_s + COMMON_FAULT_WINDOW_S >= now_s);
        recent && self.last_alarm_s().is_none()
    }

    /// Resets the acceptance tests. Each attempt gets a smaller part of the error bound, so that
    /// the bound holds for all attempts together.
    pub fn restart_acceptance_tests(&mut self) {
        self.acceptance_attempts += 1;
        self.awaiting_acceptance.clear();
        self.acceptance_tests = self.acceptance_tests.clone().map(MoveAcceptanceTest::restart);
        for comparison in self.routes.values_mut() {
            comparison.restart_acceptance_tests();
        }
    }

    /// Returns the e-value that an acceptance test must reach.
    pub fn acceptance_threshold(&self) -> f64 {
        (self.acceptance_attempts * (self.acceptance_attempts + 1)) as f64
            / (2.0 * self.settings.acceptance_error)
    }

    /// Returns the acceptance test of a metric over all routes.
    pub fn acceptance_test(&self, metric: MoveMetric) -> &MoveAcceptanceTest {
        &self.acceptance_tests[metric as usize]
    }

    /// Returns the comparisons per route.
    pub fn routes(&self) -> &BTreeMap<RouteName, RouteComparison> {
        &self.routes
    }

    /// Returns the combined e-value against the new version, a weighted average over the tests.
    pub fn e_value(&self) -> f64 {
        self.weighted_tests().map(|(weight, _, _, test)| weight * test.e_value()).sum()
    }

    /// Returns why the new version must be rolled back, if the combined e-value is high enough.
    pub fn rejection(&self) -> Option<MoveReason> {
        let e_value = self.e_value();
        if e_value < 1.0 / self.settings.rollback_error {
            return None;
        }
        let strongest = self
            .weighted_tests()
            .max_by(|a, b| (a.0 * a.3.e_value()).total_cmp(&(b.0 * b.3.e_value())));
        let (_, route, metric, test) = strongest?;
        let counts = test.recent();
        Some(MoveReason::Worse { route: route.cloned(), metric, counts, e_value })
    }

    fn weighted_tests(
        &self,
    ) -> impl Iterator<Item = (f64, Option<&RouteName>, MoveMetric, &MoveRejectionTest)> {
        let overall = MoveMetric::ALL.into_iter().flat_map(|metric| {
            let overall = (OVERALL_WEIGHT, None, metric, &self.overall_tests[metric as usize]);
            [overall, (HIGH_SHARE_WEIGHT, None, metric, &self.high_share_tests[metric as usize])]
        });
        let share = ROUTES_WEIGHT / MAX_TESTED_ROUTES as f64;
        let routes =
            self.routes.iter().take(MAX_TESTED_ROUTES).flat_map(move |(route, comparison)| {
                MoveMetric::ALL.into_iter().map(move |metric| {
                    (share, Some(route), metric, comparison.rejection_test(metric))
                })
            });
        overall.chain(routes)
    }

    fn comparison(&mut self, route: RouteName) -> &mut RouteComparison {
        // A route that appears late starts with the weight that the other routes have got so far.
        let opened = self.segments as f64 / SEGMENT_COUNT as f64;
        let weight = INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * opened;
        self.routes.entry(route).or_insert_with(|| RouteComparison::new(&self.settings, weight))
    }

    fn close_ready(&mut self, route: &RouteName, now_s: u64) {
        let Some(comparison) = self.routes.get_mut(route) else { return };
        for strata in comparison.close_ready(now_s) {
            for (test, stratum) in self.overall_tests.iter_mut().zip(&strata) {
                test.absorb(stratum);
            }
            if self.acceptance_enabled {
                let route = route.clone();
                let awaiting =
                    AwaitingStrata { closed_s: now_s, route, strata, alarmed: [false; 2] };
                self.awaiting_acceptance.push_back(awaiting);
            }
            for (test, stratum) in self.high_share_tests.iter_mut().zip(&strata) {
                if stratum.new >= stratum.old {
                    test.absorb(stratum);
                }
            }
        }
    }

    /// Updates the acceptance tests of each metric with strata that were not followed by an alarm
    /// on it shortly afterwards. If both versions raised an alarm, the strata only compare them:
    /// requests that are bad in a platform fault say nothing about the rate of the new version.
    fn feed_settled_strata(&mut self, now_s: u64) {
        for (metric, alarm_s) in self.alarms_s[1].iter().enumerate() {
            if alarm_s.is_some_and(|alarm_s| now_s <= alarm_s + COMMON_FAULT_WINDOW_S) {
                for awaiting in &mut self.awaiting_acceptance {
                    awaiting.alarmed[metric] = true;
                }
            }
        }
        let is_common = self.last_alarm_s().is_none();
        while self
            .awaiting_acceptance
            .front()
            .is_some_and(|awaiting| awaiting.closed_s + COMMON_FAULT_WINDOW_S < now_s)
        {
            let Some(awaiting) = self.awaiting_acceptance.pop_front() else { break };
            for metric in MoveMetric::ALL {
                let stratum = awaiting.strata[metric as usize];
                let alarmed = awaiting.alarmed[metric as usize];
                if alarmed && !is_common {
                    continue;
                }
                let route_comparison = self.comparison(awaiting.route.clone());
                let route_test = route_comparison.acceptance_test_mut(metric);
                feed_acceptance_test(route_test, &stratum, alarmed);
                let overall_test = &mut self.acceptance_tests[metric as usize];
                feed_acceptance_test(overall_test, &stratum, alarmed);
            }
        }
    }

    fn rotate_recent(&mut self, bucket_s: u64) {
        let period = (bucket_s - self.start_s) / RECENT_PERIOD_S;
        if period <= self.periods {
            return;
        }
        self.periods = period;
        for test in self.overall_tests.iter_mut().chain(&mut self.high_share_tests) {
            test.rotate_recent();
        }
        for comparison in self.routes.values_mut() {
            comparison.rotate_recent();
        }
    }

    fn open_segments(&mut self, bucket_s: u64) {
        let due = ((bucket_s - self.start_s) / self.segment_s).min(SEGMENT_COUNT);
        while self.segments < due {
            self.segments += 1;
            let weight = (1.0 - INITIAL_WEIGHT) / SEGMENT_COUNT as f64;
            for test in self.overall_tests.iter_mut().chain(&mut self.high_share_tests) {
                test.open_segment(weight);
            }
            for comparison in self.routes.values_mut() {
                comparison.open_segment(weight);
            }
        }
    }
}

fn feed_acceptance_test(test: &mut MoveAcceptanceTest, stratum: &MoveStratum, alarmed: bool) {
    if alarmed {
        test.absorb_comparison(stratum);
    } else {
        test.absorb(stratum);
    }
}
