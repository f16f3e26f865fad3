//! Comparison of the two versions on one route.

use std::collections::BTreeMap;

use crate::{MoveAlarm, MoveCounts, MoveMeasure, MoveProof, MoveSettings, MoveStratum, MoveTest};

/// Requests of each version at which a stratum is closed. The rules look only at the numbers of
/// requests, never at their outcomes, as the validity of the test requires.
const STRATUM_REQUESTS: u64 = 4;

/// Requests of one version at which a stratum is closed with a single request of the other. At a
/// share of a few percent, waiting for more would delay the verdict by several seconds.
const STRATUM_REQUESTS_BESIDE_ONE: u64 = 64;

/// Span at which a stratum is closed even with fewer requests.
const STRATUM_SPAN_S: u64 = 30;

/// Multiple of the tolerated rate at which bad requests cancel the good ones in the trust.
const TRUST_FACTOR: f64 = 2.0;

/// Factor on the tolerated rates in the proof of a single route. With the full strictness a route
/// with a few percent of the traffic could not be proven within the time of a move.
const ROUTE_TOLERANCE: f64 = 3.0;

/// Comparison on one route: the open stratum of each epoch and the tests fed with the closed ones.
#[derive(Debug, Clone)]
pub struct MoveComparison {
    open: BTreeMap<usize, (u64, [MoveCounts; 2])>,
    tests: [MoveTest; 2],
    proofs: [MoveProof; 2],
    alarms: [[MoveAlarm; 2]; 2],
    totals: [MoveCounts; 2],
    tolerances: [f64; 2],
    trust: f64,
    earned: f64,
}

impl MoveComparison {
    /// Creates a comparison whose tests start with `weight`.
    pub fn new(settings: &MoveSettings, weight: f64) -> MoveComparison {
        let mut test = MoveTest::new(settings.margin);
        test.open_segment(weight);
        let tolerances = [settings.failed_tolerance, settings.slow_tolerance];
        MoveComparison {
            open: BTreeMap::new(),
            tests: [test.clone(), test],
            proofs: tolerances.map(|tolerance| MoveProof::new(ROUTE_TOLERANCE * tolerance)),
            alarms: [tolerances.map(MoveAlarm::new), tolerances.map(MoveAlarm::new)],
            totals: [MoveCounts::default(); 2],
            tolerances,
            trust: 0.0,
            earned: 0.0,
        }
    }

    /// Checks newly arrived counters. Returns whether an alarm is raised for the old and for the
    /// new version.
    pub fn check(&mut self, counts: [MoveCounts; 2]) -> [bool; 2] {
        let mut alarmed = [false; 2];
        for (side, added) in counts.into_iter().enumerate() {
            for (measure, alarm) in MoveMeasure::ALL.into_iter().zip(&mut self.alarms[side]) {
                let (requests, bad) = measure.trials(added);
                alarmed[side] |= alarm.absorb(requests, bad);
            }
        }
        alarmed
    }

    /// Adds newly settled counters of a bucket to the stratum of its epoch, if it has one.
    pub fn add(&mut self, bucket_s: u64, epoch: Option<usize>, counts: [MoveCounts; 2]) {
        for (side, added) in counts.into_iter().enumerate() {
            self.totals[side] = self.totals[side].plus(added);
        }
        self.trust += counts[1].total() as f64;
        for (measure, tolerance) in MoveMeasure::ALL.into_iter().zip(self.tolerances) {
            let (_, bad) = measure.trials(counts[1]);
            self.trust -= bad as f64 / (TRUST_FACTOR * tolerance);
        }
        self.trust = self.trust.max(0.0);
        self.earned = self.earned.max(self.trust);
        if let Some(epoch) = epoch {
            let (_, open) = self.open.entry(epoch).or_insert((bucket_s, Default::default()));
            *open = [open[0].plus(counts[0]), open[1].plus(counts[1])];
        }
    }

    /// Closes each open stratum that is large or old enough and feeds it to the tests. Returns the
    /// closed strata of each measure.
    pub fn close_ready(&mut self, now_s: u64) -> Vec<[MoveStratum; 2]> {
        let mut closed = Vec::new();
        self.open.retain(|_, (since_s, counts)| {
            let ready = is_ready(*since_s, counts.map(MoveCounts::total), now_s);
            if ready {
                closed.push(MoveMeasure::ALL.map(|measure| measure.stratum(*counts)));
            }
            !ready
        });
        for (index, stratum) in closed.iter().flat_map(|strata| strata.iter().enumerate()) {
            self.tests[index].absorb(stratum);
        }
        closed
    }

    /// Feeds the strata of each measure to the proofs.
    pub fn prove(&mut self, strata: &[MoveStratum; 2]) {
        for (proof, stratum) in self.proofs.iter_mut().zip(strata) {
            proof.absorb(stratum);
        }
    }

    /// Starts the proofs again.
    pub fn restart_proofs(&mut self) {
        self.proofs = self.proofs.clone().map(MoveProof::restart);
    }

    /// Adds weight to the tests for a version that turns bad now.
    pub fn open_segment(&mut self, weight: f64) {
        for test in &mut self.tests {
            test.open_segment(weight);
        }
    }

    /// Returns the test of a measure.
    pub fn test(&self, measure: MoveMeasure) -> &MoveTest {
        &self.tests[measure as usize]
    }

    /// Returns the proof of a measure.
    pub fn proof(&self, measure: MoveMeasure) -> &MoveProof {
        &self.proofs[measure as usize]
    }

    /// Returns the number of requests that concluded on the new version, less a deduction for each
    /// bad one. It does not grow while the rate of bad requests is over twice the tolerated one.
    pub fn trust(&self) -> f64 {
        self.trust
    }

    /// Restores the highest trust so far, because a platform fault explains the bad requests.
    pub fn restore_trust(&mut self) {
        self.trust = self.earned;
    }

    /// Returns all counters so far, of the old and of the new version.
    pub fn totals(&self) -> [MoveCounts; 2] {
        self.totals
    }
}

fn is_ready(since_s: u64, totals: [u64; 2], now_s: u64) -> bool {
    let (few, many) = (totals[0].min(totals[1]), totals[0].max(totals[1]));
    few >= STRATUM_REQUESTS
        || (few >= 1 && many >= STRATUM_REQUESTS_BESIDE_ONE)
        || now_s >= since_s + STRATUM_SPAN_S
}
