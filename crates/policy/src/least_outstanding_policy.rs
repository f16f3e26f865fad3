//! Baseline policy `least_outstanding`.

use crate::{
    PlacementCandidate, PlacementPolicy, PolicyRegistration, placement_policy::lowest_score,
};

/// Chooses the server on which this VM has the fewest requests.
#[derive(Debug)]
struct LeastOutstandingPolicy;

impl PlacementPolicy for LeastOutstandingPolicy {
    fn choose(&mut self, candidates: &[PlacementCandidate], random: &[f64]) -> Option<usize> {
        lowest_score(candidates, random, |candidate| f64::from(candidate.own_requests))
    }
}

inventory::submit! {
    PolicyRegistration { name: "least_outstanding", build: |_| Box::new(LeastOutstandingPolicy) }
}
