//! Baseline policy `least_memory`.

use crate::{
    PlacementCandidate, PlacementPolicy, PolicyRegistration, placement_policy::lowest_score,
};

/// Chooses the server with the lowest share of memory in use according to its last report.
#[derive(Debug)]
struct LeastMemoryPolicy;

impl PlacementPolicy for LeastMemoryPolicy {
    fn choose(&mut self, candidates: &[PlacementCandidate], random: &[f64]) -> Option<usize> {
        lowest_score(candidates, random, |candidate| {
            candidate.reported_memory as f64 / candidate.memory_total.max(1) as f64
        })
    }
}

inventory::submit! {
    PolicyRegistration { name: "least_memory", build: |_| Box::new(LeastMemoryPolicy) }
}
