//! Comparison of the two versions on one route.

use std::collections::BTreeMap;

use crate::{
    MoveAcceptanceTest, MoveAlarm, MoveCounts, MoveMetric, MoveRejectionTest, MoveSettings,
    MoveStratum,
};

/// Requests of each version at which a stratum is closed. The rules for closing a stratum must not
/// depend on the outcomes of its requests, or the tests would not be valid.
const STRATUM_REQUESTS: u64 = 4;

/// Requests of one version at which a stratum with a single request of the other one is closed. At
/// a share of a few percent, waiting for more requests would delay the tests by several seconds.
const STRATUM_REQUESTS_BESIDE_ONE: u64 = 64;

/// Age at which a stratum is closed even if it has fewer requests.
const STRATUM_SPAN_S: u64 = 30;

/// Multiple of the tolerated rate of bad requests at which the credit stops growing.
const CREDIT_TOLERANCE_FACTOR: f64 = 2.0;

/// Number of requests at the tolerated rate that are added to those of the old version when its
/// rate of bad requests is estimated.
const EXPECTED_RATE_REQUESTS: f64 = 100.0;

/// Factor on the tolerated rates in the acceptance tests of a single route. Without it, a route
/// with a few percent of the traffic could not be accepted within the duration of a move.
const ROUTE_TOLERANCE: f64 = 3.0;

/// Comparison of the two versions on one route: the open stratum of each epoch, and the tests that
/// are updated with closed strata.
#[derive(Debug, Clone)]
pub struct RouteComparison {
    /// Open stratum of each epoch: start of its first bucket and counters of both versions.
    open_strata: BTreeMap<usize, (u64, [MoveCounts; 2])>,
    rejection_tests: [MoveRejectionTest; 2],
    acceptance_tests: [MoveAcceptanceTest; 2],
    alarms: [[MoveAlarm; 2]; 2],
    totals: [MoveCounts; 2],
    tolerances: [f64; 2],
    credit: f64,
    highest_credit: f64,
}

impl RouteComparison {
    /// Creates a comparison whose rejection tests start with `weight`.
    pub fn new(settings: &MoveSettings, weight: f64) -> RouteComparison {
        let mut test = MoveRejectionTest::new(settings.margin);
        test.open_segment(weight);
        let tolerances = [settings.failed_tolerance, settings.slow_tolerance];
        RouteComparison {
            open_strata: BTreeMap::new(),
            rejection_tests: [test.clone(), test],
            acceptance_tests: tolerances
                .map(|tolerance| MoveAcceptanceTest::new(ROUTE_TOLERANCE * tolerance)),
            alarms: [tolerances.map(MoveAlarm::new), tolerances.map(MoveAlarm::new)],
            totals: [MoveCounts::default(); 2],
            tolerances,
            credit: 0.0,
            highest_credit: 0.0,
        }
    }

    /// Updates the alarms with newly arrived counters. Returns whether an alarm is raised for the
    /// old and for the new version, on each metric.
    pub fn check_alarms(&mut self, counts: [MoveCounts; 2]) -> [[bool; 2]; 2] {
        let mut alarmed = [[false; 2]; 2];
        for (side, added) in counts.into_iter().enumerate() {
            for (metric, alarm) in MoveMetric::ALL.into_iter().zip(&mut self.alarms[side]) {
                let (requests, bad) = metric.trials(added);
                alarmed[side][metric as usize] = alarm.absorb(requests, bad);
            }
        }
        alarmed
    }

    /// Adds newly settled counters of a bucket to the totals, the credit and, if the bucket belongs
    /// to an epoch, the open stratum of that epoch.
    pub fn add(&mut self, bucket_s: u64, epoch: Option<usize>, counts: [MoveCounts; 2]) {
        for (side, added) in counts.into_iter().enumerate() {
            self.totals[side] = self.totals[side].plus(added);
        }
        self.credit += counts[1].total() as f64;
        for (metric, tolerance) in MoveMetric::ALL.into_iter().zip(self.tolerances) {
            let (_, bad) = metric.trials(counts[1]);
            let tolerance = tolerance.max(self.old_rate(metric, tolerance));
            self.credit -= bad as f64 / (CREDIT_TOLERANCE_FACTOR * tolerance);
        }
        self.credit = self.credit.max(0.0);
        self.highest_credit = self.highest_credit.max(self.credit);
        if let Some(epoch) = epoch {
            let (_, open) = self.open_strata.entry(epoch).or_insert((bucket_s, Default::default()));
            *open = [open[0].plus(counts[0]), open[1].plus(counts[1])];
        }
    }

    /// Returns the rate of bad requests of the old version, drawn towards `expected` while it has
    /// few requests.
    fn old_rate(&self, metric: MoveMetric, expected: f64) -> f64 {
        let (requests, bad) = metric.trials(self.totals[0]);
        (bad as f64 + expected * EXPECTED_RATE_REQUESTS)
            / (requests as f64 + EXPECTED_RATE_REQUESTS)
    }

    /// Closes each open stratum that is large or old enough and updates the rejection tests with
    /// it. Returns the closed strata, each with one entry per metric.
    pub fn close_ready(&mut self, now_s: u64) -> Vec<[MoveStratum; 2]> {
        let mut closed = Vec::new();
        self.open_strata.retain(|_, (since_s, counts)| {
            let ready = is_ready(*since_s, counts.map(MoveCounts::total), now_s);
            if ready {
                closed.push(MoveMetric::ALL.map(|metric| metric.stratum(*counts)));
            }
            !ready
        });
        for (index, stratum) in closed.iter().flat_map(|strata| strata.iter().enumerate()) {
            self.rejection_tests[index].absorb(stratum);
        }
        closed
    }

    /// Returns the acceptance test of a metric, to update it.
    pub fn acceptance_test_mut(&mut self, metric: MoveMetric) -> &mut MoveAcceptanceTest {
        &mut self.acceptance_tests[metric as usize]
    }

    /// Resets the acceptance tests and raises the limits of the new version's alarms.
    pub fn restart_acceptance_tests(&mut self) {
        for alarm in &mut self.alarms[1] {
            alarm.raise_limit();
        }
        self.acceptance_tests = self.acceptance_tests.clone().map(MoveAcceptanceTest::restart);
    }

    /// Adds weight to the rejection tests for the case that the version turns bad now.
    pub fn open_segment(&mut self, weight: f64) {
        for test in &mut self.rejection_tests {
            test.open_segment(weight);
        }
    }

    /// Starts a new period of the recent counts.
    pub fn rotate_recent(&mut self) {
        for test in &mut self.rejection_tests {
            test.rotate_recent();
        }
    }

    /// Returns the rejection test of a metric.
    pub fn rejection_test(&self, metric: MoveMetric) -> &MoveRejectionTest {
        &self.rejection_tests[metric as usize]
    }

    /// Returns the acceptance test of a metric.
    pub fn acceptance_test(&self, metric: MoveMetric) -> &MoveAcceptanceTest {
        &self.acceptance_tests[metric as usize]
    }

    /// Returns the credit of the new version: the number of its concluded requests, less a
    /// deduction for each bad one. It limits how many requests the new version gets in one step.
    /// The credit does not grow while the rate of bad requests is above twice the tolerated rate,
    /// or twice the rate of the old version if that is higher.
    pub fn credit(&self) -> f64 {
        self.credit
    }

    /// Restores the highest credit so far. Used when a platform fault explains the bad requests.
    pub fn restore_credit(&mut self) {
        self.credit = self.highest_credit;
    }

    /// Returns the total counters of the old and of the new version.
    pub fn totals(&self) -> [MoveCounts; 2] {
        self.totals
    }
}

/// Returns whether a stratum has enough requests, or is old enough, to be closed.
fn is_ready(since_s: u64, totals: [u64; 2], now_s: u64) -> bool {
    let (few, many) = (totals[0].min(totals[1]), totals[0].max(totals[1]));
    few >= STRATUM_REQUESTS
        || (few >= 1 && many >= STRATUM_REQUESTS_BESIDE_ONE)
        || now_s >= since_s + STRATUM_SPAN_S
}
