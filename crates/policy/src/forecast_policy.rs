//! Policy `forecast`, the default.

use crate::{
    PlacementCandidate, PlacementPolicy, PolicyRegistration, PolicySettings,
    placement_policy::lowest_score,
};

/// Chooses by forecast memory use and batch size. A server is admissible if its forecast peak stays
/// within the allowed share of memory and its batch within the limit. The least loaded admissible
/// server is chosen.
#[derive(Debug)]
struct ForecastPolicy {
    max_memory_share: f64,
    batch_share: f64,
    queue_depth: f64,
    prefix_bonus: f64,
    remote_penalty: f64,
    score_jitter: f64,
}

impl ForecastPolicy {
    fn new(settings: &PolicySettings) -> ForecastPolicy {
        ForecastPolicy {
            max_memory_share: settings.max_memory_share,
            batch_share: settings.batch_share,
            queue_depth: f64::from(settings.queue_depth),
            prefix_bonus: settings.prefix_bonus,
            remote_penalty: settings.remote_penalty,
            score_jitter: settings.score_jitter,
        }
    }

    /// Returns the highest number of requests that are sent to the server.
    fn batch_limit(&self, candidate: &PlacementCandidate) -> f64 {
        (f64::from(candidate.limit) * self.batch_share).max(1.0) + self.queue_depth
    }

    fn is_admissible(&self, candidate: &PlacementCandidate) -> bool {
        if candidate.cold {
            return true;
        }
        let requests = f64::from(candidate.estimated_requests) + candidate.peer_requests;
        let share = 1.0 - candidate.reserve;
        if requests + 1.0 > (self.batch_limit(candidate) * share).max(1.0) {
            return false;
        }
        // A request that fits only into an empty server must be able to start there.
        candidate.estimated_requests == 0
            || candidate.forecast_peak
                <= candidate.memory_total as f64 * self.max_memory_share * share
    }

    fn score(&self, candidate: &PlacementCandidate) -> f64 {
        let memory = candidate.forecast_peak / candidate.memory_total.max(1) as f64;
        let batch = f64::from(candidate.estimated_requests + 1) / self.batch_limit(candidate);
        let mut score = (memory + batch) / 2.0 + memory.max(batch);
        if candidate.remote {
            score += self.remote_penalty;
        }
        score - self.prefix_bonus * candidate.prefix_share
    }
}

impl PlacementPolicy for ForecastPolicy {
    fn uses_forecast(&self) -> bool {
        true
    }

    fn choose(&mut self, candidates: &[PlacementCandidate], random: &[f64]) -> Option<usize> {
        let mut scores = Vec::with_capacity(candidates.len());
        for (candidate, random) in candidates.iter().zip(random) {
            let admissible = self.is_admissible(candidate);
            let score = self.score(candidate) + self.score_jitter * random;
            scores.push(if admissible { score } else { f64::INFINITY });
        }
        let position = lowest_score(candidates, &scores, |_| 0.0)?;
        scores[position].is_finite().then_some(position)
    }
}

inventory::submit! {
    PolicyRegistration {
        name: "forecast",
        build: |settings| Box::new(ForecastPolicy::new(settings)),
    }
}
