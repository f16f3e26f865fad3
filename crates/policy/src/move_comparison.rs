//! Comparison of the two versions on one route.

use crate::{MoveAlarm, MoveCounts, MoveMeasure, MoveProof, MoveSettings, MoveStratum, MoveTest};

/// Requests of each version at which a stratum is closed. The rules look only at the numbers of
/// requests, never at their outcomes, as the validity of the test requires.
const STRATUM_REQUESTS: u64 = 4;

/// Requests of one version at which a stratum is closed with a single request of the other. At a
/// share of a few percent, waiting for more would delay the verdict by several seconds.
const STRATUM_REQUESTS_BESIDE_ONE: u64 = 32;

/// Span at which a stratum is closed even with fewer requests.
const STRATUM_SPAN_S: u64 = 30;

/// Comparison on one route: the open stratum and the tests fed with the closed ones.
#[derive(Debug, Clone)]
pub struct MoveComparison {
    open: [MoveCounts; 2],
    open_since: Option<u64>,
    tests: [MoveTest; 2],
    proofs: [MoveProof; 2],
    alarms: [MoveAlarm; 2],
    totals: [MoveCounts; 2],
}

impl MoveComparison {
    /// Creates a comparison whose tests start with `weight`.
    pub fn new(settings: &MoveSettings, weight: f64) -> MoveComparison {
        let mut test = MoveTest::new(settings.margin);
        test.open_segment(weight);
        let tolerances = [settings.failed_tolerance, settings.slow_tolerance];
        MoveComparison {
            open: [MoveCounts::default(); 2],
            open_since: None,
            tests: [test.clone(), test],
            proofs: tolerances.map(MoveProof::new),
            alarms: tolerances.map(MoveAlarm::new),
            totals: [MoveCounts::default(); 2],
        }
    }

    /// Adds newly settled counters of a bucket. Returns whether an alarm is raised.
    pub fn add(&mut self, bucket_s: u64, counts: [MoveCounts; 2]) -> bool {
        let mut alarmed = false;
        for (measure, alarm) in MoveMeasure::ALL.into_iter().zip(&mut self.alarms) {
            let (requests, bad) = measure.trials(counts[1]);
            alarmed |= alarm.absorb(requests, bad);
        }
        for (side, added) in counts.into_iter().enumerate() {
            self.open[side] = self.open[side].plus(added);
            self.totals[side] = self.totals[side].plus(added);
        }
        self.open_since.get_or_insert(bucket_s);
        alarmed
    }

    /// Returns whether the open stratum is large or old enough to be closed.
    pub fn is_ready(&self, now_s: u64) -> bool {
        let Some(since) = self.open_since else { return false };
        let totals = self.open.map(MoveCounts::total);
        let (few, many) = (totals[0].min(totals[1]), totals[0].max(totals[1]));
        few >= STRATUM_REQUESTS
            || (few >= 1 && many >= STRATUM_REQUESTS_BESIDE_ONE)
            || now_s >= since + STRATUM_SPAN_S
    }

    /// Closes the open stratum, feeds it to the tests and, if `proving`, to the proofs. Returns
    /// the stratum of each measure.
    pub fn close_stratum(&mut self, proving: bool) -> [MoveStratum; 2] {
        let open = std::mem::take(&mut self.open);
        self.open_since = None;
        let strata = MoveMeasure::ALL.map(|measure| measure.stratum(open));
        for (index, stratum) in strata.iter().enumerate() {
            self.tests[index].absorb(stratum);
            if proving {
                self.proofs[index].absorb(stratum);
            }
        }
        strata
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

    /// Returns all counters so far, of the old and of the new version.
    pub fn totals(&self) -> [MoveCounts; 2] {
        self.totals
    }
}
