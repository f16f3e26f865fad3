//! Baseline policy `least_load`.

use crate::{
    PlacementCandidate, PlacementPolicy, PolicyRegistration, placement_policy::lowest_score,
};

/// Chooses the server with the fewest requests according to its last report.
#[derive(Debug)]
struct LeastLoadPolicy;

impl PlacementPolicy for LeastLoadPolicy {
    fn choose(&mut self, candidates: &[PlacementCandidate], random: &[f64]) -> Option<usize> {
        lowest_score(candidates, random, |candidate| f64::from(candidate.reported_requests))
    }
}

inventory::submit! {
    PolicyRegistration { name: "least_load", build: |_| Box::new(LeastLoadPolicy) }
}
