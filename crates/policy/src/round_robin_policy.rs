//! Baseline policy `round_robin`.

use crate::{PlacementCandidate, PlacementPolicy, PolicyRegistration, ServerKey};

/// Chooses the next server in the order of keys.
#[derive(Debug)]
struct RoundRobinPolicy {
    last: Option<ServerKey>,
}

impl PlacementPolicy for RoundRobinPolicy {
    fn choose(&mut self, candidates: &[PlacementCandidate], _: &[f64]) -> Option<usize> {
        let mut best: Option<(bool, ServerKey, usize)> = None;
        for (position, candidate) in candidates.iter().enumerate() {
            let wrapped = self.last.is_some_and(|last| candidate.server <= last);
            let ranked = (wrapped, candidate.server, position);
            if best.is_none_or(|found| ranked < found) {
                best = Some(ranked);
            }
        }
        let (_, server, position) = best?;
        self.last = Some(server);
        Some(position)
    }
}

inventory::submit! {
    PolicyRegistration {
        name: "round_robin",
        build: |_| Box::new(RoundRobinPolicy { last: None }),
    }
}
